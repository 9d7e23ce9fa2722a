#include "gateway/batch/job_residency.h"

#include <algorithm>

#include "common/event_log.h"
#include "gateway/batch/active_job.h"
#include "gateway/batch/job_rules.h"
#include "gateway/tenants/residency.h"

namespace linenpier::batch {

using logging::LogEvent;

namespace {

std::string pathOf(const std::string& target) {
  return target.substr(0, target.find('?'));
}

const routing::Route* routeNamed(const routing::Configuration& table, const RouteName& name) {
  const auto at = std::find_if(table.routes.begin(), table.routes.end(),
                               [&name](const auto& each) { return each.name == name; });
  return at == table.routes.end() ? nullptr : &*at;
}

}  // namespace

std::string namesOf(const fleet::data_residency& residency) {
  if (!residency.isRestricted()) return "anywhere";
  std::string names;
  for (const RegionName& each : residency.regions())
    names += (names.empty() ? "" : ",") + each.str();
  return names.empty() ? "nowhere" : names;
}

std::string namesOf(const std::optional<fleet::data_residency>& residency) {
  return residency ? namesOf(*residency) : "not_known";
}

std::set<RouteName> otherRoutes(const routing::Configuration& table, const routing::Route& route,
                                const std::string& host, const batch_job& job) {
  std::set<RouteName> others;
  const auto add = [&](const routing::Route* found) {
    if (found != nullptr && found->name != route.name) others.insert(found->name);
  };
  for (const batch_item& item : job.items) {
    add(table.find(host, pathOf(item.path)));
    if (item.scorer) add(table.find(item.scorer->host, pathOf(item.scorer->path)));
  }
  return others;
}

std::optional<fleet::data_residency> job_residency::of(const job_record& record) const {
  const routing::ConfigurationPtr table = this->deps_.routes();
  const routing::Route* route = routeOf(record, table);
  if (!table) return std::nullopt;
  fleet::data_residency residency = tenants::residencyOf(*table, route, record.tenant);
  for (const RouteName& name : record.other_routes) {
    const routing::Route* other = routeNamed(*table, name);
    if (other != nullptr) residency = residency.intersect(other->residency);
  }
  return residency;
}

fleet::data_residency job_residency::ofItem(const active_job& active, std::size_t item,
                                            const routing::Configuration& table,
                                            const routing::Route& route) const {
  const fleet::data_residency residency = tenants::residencyOf(table, &route, active.record.tenant);
  const std::string path = pathOf(active.run.job().items[item].path);
  const routing::Route* own = table.find(active.record.host, path);
  return own == nullptr ? residency : residency.intersect(own->residency);
}

RegionName job_residency::ownRegion() const {
  return this->deps_.registry.layout().regionOf(this->deps_.pool.zone());
}

bool job_residency::mayOwn(const job_record& record) const {
  const std::optional<fleet::data_residency> residency = this->of(record);
  return residency && residency->allows(this->ownRegion());
}

bool job_residency::servedWithinResidency(const routing::Route& route,
                                          const job_record& record) const {
  const std::optional<fleet::data_residency> owners = this->of(record);
  if (!owners) return false;
  const bool owned_nowhere = owners->isRestricted() && owners->regions().empty();
  const routing::ConfigurationPtr table = this->deps_.routes();
  engines::engine_request wanted;
  wanted.residency = tenants::residencyOf(*table, &route, record.tenant);
  if (!wanted.residency.isRestricted() && !owned_nowhere) return true;
  for (const routing::WeightedService& each : route.services) {
    wanted.service = each.service;
    const bool any = this->deps_.registry.isPlaceable(wanted);
    if (any && !owned_nowhere) return true;
    LogEvent("batch", "no_engine_at_home")
        .text("batch", record.id.str())
        .text("service", wanted.service.str())
        .text("homes", namesOf(wanted.residency))
        .text("homes_of_owner", namesOf(*owners))
        .text("refusals", this->deps_.registry.lastAdmissionFailures().describe());
  }
  return false;
}

}  // namespace linenpier::batch
