/// @file
/// What a daemon's core does as time passes: read the platform, watch engines, tell others.

#include <algorithm>

#include "daemon/membership/rendezvous.h"
#include "daemon/node/node_core.h"

namespace linenpier::node {

void NodeCore::on(Instant now, const Tick& /*event*/) {
  settled_ = now - started_ >= options_.settling_time;
  sendAll(membership_.onTick(now, facts()));
  readPlatform(now);
  watchEngines(now);
  tellZone(now);
  tellOtherZones(now);
  applyAdmission(admission_.onTick(now));
  coordinateSteps(now);
  reportSamples(now);
}

void NodeCore::readPlatform(Instant now) {
  if (now >= next_machine_list_ && !reading_machines_) {
    reading_machines_ = true;
    next_machine_list_ = now + options_.machine_list_period;
    emit(ReadMachineList{});
  }
  // One daemon of each zone watches the table for changes that gossip missed.
  const auto& zone = zoneMembers(options_.self.zone);
  const wire::MemberRecord* watcher = rendezvousPick(zone, "config-watch");
  const bool watching = !config_ready_ || (watcher != nullptr && watcher->id == options_.self.id);
  if (now >= next_config_ && !reading_config_ && watching) {
    reading_config_ = true;
    next_config_ = now + (config_ready_ ? options_.config_period : std::chrono::seconds(1));
    emit(ReadConfig{config_ready_ ? config_.revision() : 0});
  }
  if (now < next_model_head_) return;
  next_model_head_ = now + options_.model_head_period;
  std::vector<ModelName> models;
  for (const auto& [id, engine] : directory_.engines()) models.push_back(engine.seed.model);
  std::sort(models.begin(), models.end());
  models.erase(std::unique(models.begin(), models.end()), models.end());
  for (const ModelName& model : models) {
    const wire::MemberRecord* reader = rendezvousPick(zone, "weights/" + model.str());
    if (reader != nullptr && reader->id == options_.self.id) emit(ReadModelHead{model});
  }
}

void NodeCore::watchEngines(Instant now) {
  const std::uint64_t list_revision = directory_.listRevision();
  if (assigned_list_revision_ != list_revision || assigned_view_ != view_revision_) {
    assigned_list_revision_ = list_revision;
    assigned_view_ = view_revision_;
    ownership_.assign(zoneMembers(options_.self.zone), directory_.engines());
  }
  const auto work = ownership_.onTick(now);
  for (const EngineId& engine : work.polls) {
    emit(ReadLoad{engine, directory_.find(engine)->seed.url});
  }
  for (const EngineId& engine : work.claims) emit(ClaimEngine{engine});
  const auto& serving = config_.snapshot()->serving_models;
  for (const auto& due : weights_.onTick(now, directory_.engines(), ownership_, serving)) {
    emit(SendOrder{due.engine, directory_.find(due.engine)->seed.url, due.order});
  }
}

void NodeCore::tellZone(Instant now) {
  if (now < next_zone_load_) return;
  next_zone_load_ = now + options_.zone_load_period;
  const bool full = now >= next_full_report_;
  if (full) next_full_report_ = now + options_.full_report_period;
  wire::ZoneLoad load;
  for (const auto& [id, engine] : directory_.engines()) {
    if (!ownership_.isAssigned(id) || !engine.reported) continue;
    wire::EngineReport& told = told_[id];
    const bool changed = told.running != engine.report.running ||
                         told.waiting != engine.report.waiting ||
                         told.version != engine.report.version ||
                         told.leaving != engine.report.leaving || told.slots != engine.report.slots;
    const bool fresh = now - engine.reported_at < options_.zone_load_period * 2;
    if (!fresh || (!full && !changed)) continue;
    told = engine.report;
    load.engines.push_back(upstream::compact(engine.report));
  }
  if (load.engines.empty()) return;
  for (const wire::MemberRecord& member : zoneMembers(options_.self.zone)) {
    if (member.id != options_.self.id) send(member.address, load);
  }
}

void NodeCore::tellOtherZones(Instant now) {
  if (now < next_zone_digest_) return;
  next_zone_digest_ = now + options_.zone_digest_period;
  // One daemon a zone speaks for it, to one daemon of each other zone, which passes it on.
  const auto& zone = zoneMembers(options_.self.zone);
  const wire::MemberRecord* speaker = rendezvousPick(zone, "zone-digest");
  if (speaker == nullptr || speaker->id != options_.self.id) return;
  const wire::ZoneDigest digest = directory_.makeDigest(now);
  if (digest.pools.empty()) return;
  for (const auto& [other, members] : alive_by_zone_) {
    if (other == options_.self.zone) continue;
    if (const auto receiver = someMemberOf(other)) send(receiver->address, digest);
  }
}

void NodeCore::coordinateSteps(Instant now) {
  coordinator_.keepOnly([this](const rollout::StepKey& step) {
    const auto coordinator = coordinatorOf(step.tenant, step.trainer);
    return coordinator && coordinator->id == options_.self.id;
  });
  const std::set<ModelName> models = coordinator_.modelsOfOpenSteps();
  auto work = coordinator_.onTick(now, capacity(now, models));
  for (const auto& order : work.orders) {
    if (const auto maker = someMemberOf(order.zone)) send(maker->address, order.order);
  }
  for (const auto& [maker, sample] : work.cancels) {
    sendTo(maker, wire::SampleCancel{{sample}});
  }
  for (const rollout::StepKey& step : work.reads) emit(ReadStep{step});
  for (auto& commit : work.commits) emit(CommitStep{std::move(commit)});
}

void NodeCore::reportSamples(Instant now) {
  for (auto& report : worker_.onTick(now)) {
    if (const auto coordinator = coordinatorOf(report.tenant, report.trainer)) {
      send(coordinator->address, std::move(report.message));
    }
  }
}

std::map<ModelName, std::vector<rollout::ZoneCapacity>> NodeCore::capacity(
    Instant now, const std::set<ModelName>& models) const {
  std::map<ModelName, std::vector<rollout::ZoneCapacity>> result;
  if (models.empty()) return result;
  const wire::ZoneDigest own = directory_.makeDigest(now);
  for (const ModelName& model : models) {
    auto& zones = result[model];
    const auto add = [&](const wire::ZoneDigest& digest) {
      const wire::PoolDigest* pool = upstream::findPool(digest, model);
      if (pool != nullptr) zones.push_back({digest.zone, pool->slots});
    };
    add(own);
    for (const wire::ZoneDigest& digest : directory_.zonesWith(now, model, 0)) add(digest);
  }
  return result;
}

}  // namespace linenpier::node
