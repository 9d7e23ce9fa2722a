/// @file
/// Jobs that must stay in some regions: who may own them, and how a daemon elsewhere gives them up.

#include <algorithm>

#include "common/event_log.h"
#include "gateway/batch/active_job.h"
#include "gateway/batch/batch_service.h"
#include "gateway/tenants/residency.h"

namespace linenpier::batch {

using logging::LogEvent;

namespace {

/// A job that is left alone for this long has nobody at home: those who are there take it within a
/// second or two.
constexpr Duration kResidencySilence = std::chrono::seconds(3);
constexpr Duration kWaitLinePeriod = std::chrono::seconds(10);

std::string pathOf(const std::string& target) {
  return target.substr(0, target.find('?'));
}

const routing::Route* routeNamed(const routing::RouteTable& table, const RouteName& name) {
  const auto at = std::find_if(table.routes.begin(), table.routes.end(),
                               [&name](const auto& each) { return each.name == name; });
  return at == table.routes.end() ? nullptr : &*at;
}

std::string namesOf(const fleet::data_residency& residency) {
  if (!residency.bound()) return "anywhere";
  std::string names;
  for (const RegionName& each : residency.regions())
    names += (names.empty() ? "" : ",") + each.str();
  return names.empty() ? "nowhere" : names;
}

}  // namespace

std::set<RouteName> BatchService::otherRoutes(const routing::RouteTable& table,
                                              const routing::Route& route, const std::string& host,
                                              const BatchJob& job) const {
  std::set<RouteName> others;
  const auto add = [&](const routing::Route* found) {
    if (found != nullptr && found->name != route.name) others.insert(found->name);
  };
  for (const BatchItem& item : job.items) {
    add(table.find(host, pathOf(item.path)));
    if (item.scorer) add(table.find(item.scorer->host, pathOf(item.scorer->path)));
  }
  return others;
}

std::optional<fleet::data_residency> BatchService::residencyOf(const JobRecord& record) const {
  routing::RouteTablePtr table;
  const routing::Route* route = routeOf(record, table);
  if (!table) return std::nullopt;
  fleet::data_residency residency = tenants::residencyOf(*table, route, record.tenant);
  for (const RouteName& name : record.other_routes) {
    const routing::Route* other = routeNamed(*table, name);
    if (other != nullptr) residency = residency.both(other->residency);
  }
  return residency;
}

fleet::data_residency BatchService::residencyOfItem(const Active& active, ItemIndex item,
                                                    const routing::RouteTable& table,
                                                    const routing::Route& route) const {
  const fleet::data_residency residency = tenants::residencyOf(table, &route, active.record.tenant);
  const std::string path = pathOf(active.run.job().items[item].path);
  const routing::Route* own = table.find(active.record.host, path);
  return own == nullptr ? residency : residency.both(own->residency);
}

RegionName BatchService::ownRegion() const {
  return deps_.engines.registry.layout().regionOf(deps_.pool.zone());
}

bool BatchService::mayOwn(const JobRecord& record) const {
  const std::optional<fleet::data_residency> residency = residencyOf(record);
  return residency && residency->allows(ownRegion());
}

bool BatchService::servedWithinResidency(const routing::Route& route,
                                         const JobRecord& record) const {
  const std::optional<fleet::data_residency> owners = residencyOf(record);
  if (!owners) return false;
  const bool owned_nowhere = owners->bound() && owners->regions().empty();
  const routing::RouteTablePtr table = deps_.routes();
  engines::PickRequest wanted;
  wanted.service = route.services.front().service;
  wanted.residency = tenants::residencyOf(*table, &route, record.tenant);
  if (!wanted.residency.bound() && !owned_nowhere) return true;
  const bool any = deps_.engines.registry.anyInPlace(wanted);
  if (any && !owned_nowhere) return true;
  LogEvent("batch", "no_engine_at_home")
      .text("batch", record.id.str())
      .text("service", wanted.service.str())
      .text("homes", namesOf(wanted.residency))
      .text("homes_of_owner", namesOf(*owners))
      .text("refusals", deps_.engines.registry.lastRefusals().describe());
  return false;
}

bool BatchService::settleResidency(const JobId& id, known_job& job) {
  const bool open = !job.record.ended && job.record.released < job.record.total;
  if (!open || job.activating || stopping_ || job.record.owner != deps_.leases.own()) return true;
  const std::optional<fleet::data_residency> residency = residencyOf(job.record);
  if (!residency) return true;
  const bool within_residency = residency->allows(ownRegion());
  if (within_residency && !job.resumes_within_residency) return true;
  job.activating = true;
  job.resumes_within_residency = false;
  if (within_residency) {
    spawn(deps_.loop, [this, id] { return resume(id); });
  } else {
    spawn(deps_.loop, [this, id] { return giveUp(id); });
  }
  return false;
}

Task<void> BatchService::giveUp(JobId id) {
  known_job* known = jobs_.find(id);
  if (known == nullptr) co_return;
  const std::optional<fleet::data_residency> residency = residencyOf(known->record);
  LogEvent("batch", "given_up")
      .text("batch", id.str())
      .text("reason", "not_at_home")
      .text("homes", residency ? namesOf(*residency) : "not_known")
      .text("region", ownRegion().str());
  ++counts_.given_up_for_residency;
  co_await handOverJob(id);
  known_job* at = jobs_.find(id);
  const bool still_owned = at != nullptr && at->record.owner == deps_.leases.own();
  if (still_owned) {
    // The store did not take it. Homes may change back until it does.
    at->resumes_within_residency = true;
    co_await sleepFor(deps_.loop, options_.store_pause);
  }
  if (known_job* job = jobs_.find(id)) job->activating = false;
}

void BatchService::noteAwaitsResidency(Instant now, const JobId& id, known_job& job) {
  const bool open = job.record.released < job.record.total;
  if (!open || now - job.orphaned_at < kResidencySilence) return;
  ++awaiting_residency_;
  if (now < next_wait_line_) return;
  next_wait_line_ = now + kWaitLinePeriod;
  const std::optional<fleet::data_residency> residency = residencyOf(job.record);
  LogEvent("batch", "waits_for_home")
      .text("batch", id.str())
      .text("homes", residency ? namesOf(*residency) : "not_known")
      .text("region", ownRegion().str())
      .text("owner", job.record.owner.str())
      .milliseconds("waits_ms", now - job.orphaned_at);
}

}  // namespace linenpier::batch
