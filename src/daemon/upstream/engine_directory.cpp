#include "daemon/upstream/engine_directory.h"

#include <algorithm>
#include <utility>

#include "common/hash.h"

namespace linenpier::upstream {

double EngineState::expectedLoad() const {
  const double reported = report.running + report.waiting;
  const double corrected = reported + started_since - ended_since;
  return std::max(corrected, static_cast<double>(in_flight));
}

EngineDirectory::EngineDirectory(ZoneName zone, DirectoryOptions options)
    : zone_(std::move(zone)), options_(options) {}

std::uint32_t engineKey(const EngineId& id) {
  return static_cast<std::uint32_t>(hash64(id.str()));
}

wire::CompactReport compact(const wire::EngineReport& report) {
  const auto capped = [](std::uint32_t value) {
    return static_cast<std::uint16_t>(std::min<std::uint32_t>(value, UINT16_MAX));
  };
  return {engineKey(report.engine), static_cast<std::uint32_t>(report.version),
          capped(report.running),   capped(report.waiting),
          capped(report.slots),     report.leaving};
}

void EngineDirectory::onMachineList(const std::vector<EngineSeed>& engines) {
  const std::size_t before = engines_.size();
  for (auto& [id, engine] : engines_) engine.seed.leaving = true;
  for (const EngineSeed& seed : engines) {
    if (seed.zone == zone_) engines_[seed.id].seed = seed;
  }
  std::erase_if(engines_, [](const auto& entry) {
    return entry.second.seed.leaving && entry.second.in_flight == 0 && !entry.second.reported;
  });
  if (engines_.size() == before && ids_by_key_.size() == before) return;
  ++list_revision_;
  ids_by_key_.clear();
  for (const auto& [id, engine] : engines_) ids_by_key_[engineKey(id)] = id;
}

void EngineDirectory::onCompactReport(Instant now, const wire::CompactReport& report) {
  const auto id = ids_by_key_.find(report.engine_key);
  if (id == ids_by_key_.end()) return;
  onReport(now, {id->second, report.running, report.waiting, report.slots, report.version, 0,
                 report.leaving});
}

const EngineId* EngineDirectory::idOf(std::uint32_t engine_key) const {
  const auto id = ids_by_key_.find(engine_key);
  return id == ids_by_key_.end() ? nullptr : &id->second;
}

void EngineDirectory::onReport(Instant now, const wire::EngineReport& report) {
  const auto found = engines_.find(report.engine);
  if (found == engines_.end()) return;
  EngineState& engine = found->second;
  engine.report = report;
  if (now - engine.confirmed_at < options_.report_lag) {
    engine.report.version = std::max(engine.report.version, engine.confirmed_version);
  }
  engine.reported_at = now;
  engine.reported = true;
  engine.started_since = 0;
  engine.ended_since = 0;
}

void EngineDirectory::onVersionConfirmed(Instant now, const EngineId& id, WeightVersion version) {
  const auto found = engines_.find(id);
  if (found == engines_.end()) return;
  EngineState& engine = found->second;
  engine.confirmed_version = version;
  engine.confirmed_at = now;
  engine.report.version = std::max(engine.report.version, version);
}

void EngineDirectory::onZoneDigest(Instant now, const wire::ZoneDigest& digest) {
  if (digest.zone != zone_) digests_[digest.zone] = {digest, now};
}

void EngineDirectory::onStreamStarted(const EngineId& id) {
  const auto found = engines_.find(id);
  if (found == engines_.end()) return;
  ++found->second.in_flight;
  ++found->second.started_since;
}

void EngineDirectory::onPeerStreamPlaced(const EngineId& id) {
  const auto found = engines_.find(id);
  if (found != engines_.end()) ++found->second.started_since;
}

void EngineDirectory::onStreamEnded(Instant now, const EngineId& id, bool healthy) {
  const auto found = engines_.find(id);
  if (found == engines_.end()) return;
  EngineState& engine = found->second;
  if (engine.in_flight > 0) --engine.in_flight;
  ++engine.ended_since;
  if (healthy) {
    engine.failures = 0;
    return;
  }
  ++engine.failures;
  if (engine.failures < options_.breaker_threshold) return;
  const int doublings = std::min(engine.failures - options_.breaker_threshold, 5);
  const Duration open_time =
      std::min(options_.breaker_time * (1 << doublings), options_.breaker_limit);
  engine.open_until = now + open_time;
}

const EngineState* EngineDirectory::find(const EngineId& id) const {
  const auto found = engines_.find(id);
  return found == engines_.end() ? nullptr : &found->second;
}

bool EngineDirectory::usable(Instant now, const EngineState& engine) const {
  if (engine.leaving() || !engine.reported) return false;
  if (now - engine.reported_at > options_.report_lifetime) return false;
  return now >= engine.open_until;
}

std::vector<const EngineState*> EngineDirectory::candidates(Instant now, const ModelName& model,
                                                            WeightVersion minimum_version) const {
  std::vector<const EngineState*> result;
  for (const auto& [id, engine] : engines_) {
    if (engine.seed.model != model) continue;
    if (engine.report.version < minimum_version) continue;
    if (usable(now, engine)) result.push_back(&engine);
  }
  return result;
}

bool EngineDirectory::servesModel(const ModelName& model) const {
  return std::any_of(engines_.begin(), engines_.end(),
                     [&](const auto& entry) { return entry.second.seed.model == model; });
}

wire::ZoneDigest EngineDirectory::makeDigest(Instant now) const {
  std::map<ModelName, wire::PoolDigest> pools;
  for (const auto& [id, engine] : engines_) {
    if (!usable(now, engine)) continue;
    wire::PoolDigest& pool = pools[engine.seed.model];
    pool.model = engine.seed.model;
    pool.highest = std::max(pool.highest, static_cast<std::uint32_t>(engine.report.version));
    pool.slots += engine.report.slots;
    pool.busy += static_cast<std::uint32_t>(std::max(0.0, engine.expectedLoad()));
  }
  wire::ZoneDigest digest{zone_, false, {}};
  for (auto& [model, pool] : pools) digest.pools.push_back(pool);
  return digest;
}

std::vector<wire::ZoneDigest> EngineDirectory::zonesWith(Instant now, const ModelName& model,
                                                         WeightVersion minimum_version) const {
  std::vector<wire::ZoneDigest> result;
  for (const auto& [zone, heard] : digests_) {
    if (now - heard.heard_at > options_.digest_lifetime) continue;
    const wire::PoolDigest* pool = findPool(heard.digest, model);
    if (pool != nullptr && pool->highest >= minimum_version) result.push_back(heard.digest);
  }
  const auto free_slots = [&model](const wire::ZoneDigest& digest) {
    const wire::PoolDigest* pool = findPool(digest, model);
    return static_cast<std::int64_t>(pool->slots) - static_cast<std::int64_t>(pool->busy);
  };
  std::stable_sort(result.begin(), result.end(),
                   [&](const auto& a, const auto& b) { return free_slots(a) > free_slots(b); });
  return result;
}

const wire::PoolDigest* findPool(const wire::ZoneDigest& digest, const ModelName& model) {
  for (const wire::PoolDigest& pool : digest.pools) {
    if (pool.model == model) return &pool;
  }
  return nullptr;
}

}  // namespace linenpier::upstream
