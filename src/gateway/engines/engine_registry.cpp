#include "gateway/engines/engine_registry.h"

#include <algorithm>

namespace linenpier::engines {

namespace {
constexpr double kLoadWeight = 0.5;   ///< Of a request already there, in units of its own.
constexpr double kTightMemory = 0.7;  ///< Part of an engine's memory; beyond it requests cost more.
constexpr double kMaxMemoryFactor = 4;
constexpr double kOlderVersionFactor = 1.5;
constexpr double kBatchWeight = 0.12;  ///< Slowing of a batch that is full.
constexpr double kSlowestFactor = 8;   ///< Slower engines count as this slow.
constexpr double kColdFactor = 2;      ///< A cold engine is slow …
/// … and where the fleet may send it little, it is taken when others are full.
constexpr double kBoundedColdFactor = 4;
/// An engine that this daemon has not used lately, of more than it compares: a connection to it
/// must be opened first. More than the spread of equal choices (a twentieth), so that a daemon with
/// a request now and then goes where it has a connection; less than one more request there costs.
constexpr double kNewConnectionFactor = 1.06;
constexpr std::uint64_t kTieBreak = 1000;

}  // namespace

bool EngineRegistry::isOpen(const EngineState& engine) const {
  return !engine.record.draining && !closed_.contains(engine.record.zone);
}

void EngineRegistry::takeOut(const EngineState& engine) {
  index_.take(engine);
  const auto open = open_.find(engine.record.service);
  if (open != open_.end()) open->second.erase(engine.record.id);
}

void EngineRegistry::putIn(const EngineState& engine) {
  index_.put(engine);
  if (isOpen(engine)) open_[engine.record.service][engine.record.id] = &engine;
}

EngineRegistry::EngineMap::iterator EngineRegistry::erase(EngineMap::iterator at) {
  takeOut(at->second);
  in_use_.remove(at->second);
  return engines_.erase(at);
}

void EngineRegistry::setClosedZones(fleet::closed_zones closed) {
  closed_ = std::move(closed);
  open_.clear();
  for (const auto& [id, engine] : engines_) {
    if (isOpen(engine)) open_[engine.record.service][id] = &engine;
  }
}

void EngineRegistry::setServices(const std::map<ServiceName, routing::Service>& services) {
  const bool before = cold_.boundsAny();
  cold_.setServices(services);
  if (before || !cold_.boundsAny()) return;
  // From now on it matters which engines were warm.
  for (const auto& [id, engine] : engines_) cold_.keep(id);
}

void EngineRegistry::setHeartbeat(Duration heartbeat) {
  options_.heartbeat = heartbeat;
  cold_.setHeartbeat(heartbeat);
}

void EngineRegistry::sweep(Instant now) {
  cold_.sweep(now, [this](const EngineId& id) { return engines_.contains(id); });
  in_use_.sweep(now, options_.latency);
}

std::vector<Address> EngineRegistry::keepOnly(Instant now, const std::set<EngineId>& present) {
  std::vector<Address> gone;
  for (auto at = engines_.begin(); at != engines_.end();) {
    if (present.contains(at->first)) {
      ++at;
      continue;
    }
    if (now < lapse_ends_at_ && !at->second.record.draining) {
      (at++)->second.lapsed = true;
      continue;
    }
    gone.push_back(at->second.record.address);
    at = erase(at);
  }
  return gone;
}

RecordEffect EngineRegistry::onRecord(Instant now, const EngineRecord& record) {
  const auto [at, is_new] = engines_.try_emplace(record.id);
  EngineState& engine = at->second;
  const EngineStart before = engine.record.start;
  if (!is_new && startedBefore(record.start, before)) return RecordEffect::kOutdated;
  const bool restarted = !is_new && startedBefore(before, record.start);
  if (!is_new) takeOut(engine);
  if (restarted) engine.onRestarted();
  cold_.onHeard(now, record.id, record.cold_for);
  engine.setRecord(record);
  putIn(engine);
  if (restarted) return RecordEffect::kRestarted;
  return is_new ? RecordEffect::kNew : RecordEffect::kUpdated;
}

std::optional<Address> EngineRegistry::onUnreadable(const EngineId& id) {
  const auto at = engines_.find(id);
  if (at == engines_.end()) return std::nullopt;
  const Address address = at->second.record.address;
  erase(at);
  return address;
}

std::optional<Address> EngineRegistry::onGone(Instant now, const EngineId& id) {
  const auto at = engines_.find(id);
  if (at == engines_.end()) return std::nullopt;
  // An engine that said it would leave has left.
  if (now < lapse_ends_at_ && !at->second.record.draining) {
    at->second.lapsed = true;
    return std::nullopt;
  }
  const Address address = at->second.record.address;
  erase(at);
  return address;
}

std::vector<EngineRecord> EngineRegistry::dropLapsed(Instant now) {
  std::vector<EngineRecord> dropped;
  if (now < lapse_ends_at_) return dropped;
  for (auto at = engines_.begin(); at != engines_.end();) {
    if (!at->second.lapsed) {
      ++at;
      continue;
    }
    dropped.push_back(at->second.record);
    at = erase(at);
  }
  return dropped;
}

EngineState* EngineRegistry::mutableFind(const EngineId& id) {
  const auto at = engines_.find(id);
  return at == engines_.end() ? nullptr : &at->second;
}

const EngineState* EngineRegistry::find(const EngineId& id) const {
  const auto at = engines_.find(id);
  return at == engines_.end() ? nullptr : &at->second;
}

void EngineRegistry::onAttemptStarted(Instant now, const EngineId& id) {
  cold_.onSent(now, id);
  EngineState* engine = mutableFind(id);
  if (engine == nullptr) return;
  engine->load.onAttemptStarted();
  in_use_.add(*engine);
}

void EngineRegistry::onAttemptEnded(Instant now, const EngineId& id, AttemptEnd end) {
  EngineState* engine = mutableFind(id);
  if (engine == nullptr) return;
  engine->load.onAttemptEnded();
  engine->health.onAttemptEnded(now, end, options_.health);
}

void EngineRegistry::onTokens(const EngineId& id, double tokens) {
  EngineState* engine = mutableFind(id);
  if (engine == nullptr) return;
  engine->load.addTokens(tokens);
  if (engine->load.tokens() > 0) in_use_.add(*engine);
}

void EngineRegistry::onModelRefused(Instant now, const EngineId& id, const ModelName& model) {
  if (EngineState* engine = mutableFind(id)) {
    const bool full = load(now, *engine) >= engine->record.slots;
    engine->loading.onRejected(now, model, full, options_.loading);
  }
}

void EngineRegistry::onModelReset(Instant now, const EngineId& id, const ModelName& model) {
  EngineState* engine = mutableFind(id);
  if (engine == nullptr) return;
  engine->loading.onReset(now, model, options_.loading);
}

void EngineRegistry::onLoad(Instant now, const EngineId& id, const LoadReport& load) {
  EngineState* engine = mutableFind(id);
  if (engine == nullptr) return;
  engine->load.onReport(now, load);
}

void EngineRegistry::onEventTime(Instant now, const EngineId& id, Duration duration) {
  EngineState* engine = mutableFind(id);
  if (engine == nullptr) return;
  const bool complete = engine->latency.onEventTime(now, duration, options_.latency);
  in_use_.add(*engine);
  if (complete) engine->latency.closeSpan(medianEventTime(now, engine->record.service));
}

void EngineRegistry::onVersionSeen(const EngineId& id, const ModelName& model,
                                   WeightVersion version) {
  // An answer that is spoilt may name none. Taken for the oldest version of all, it would keep the
  // engine out of use until its entry tells of another load.
  if (version == 0) return;
  EngineState* engine = mutableFind(id);
  if (engine == nullptr || engine->versionOf(model) == version) return;
  index_.take(*engine);
  engine->seen_versions[model] = version;
  index_.put(*engine);
}

double EngineRegistry::load(Instant now, const EngineState& engine) const {
  return engine.load.total(now, options_.load);
}

double EngineRegistry::room(Instant now, const EngineId& id) const {
  const EngineState* engine = find(id);
  return engine == nullptr ? 0 : engine->record.slots - load(now, *engine);
}

double EngineRegistry::medianEventTime(Instant now, const ServiceName& service) const {
  return in_use_.medianEventTime(now, service, options_.latency);
}

double EngineRegistry::latencyRatio(Instant now, const EngineState& engine,
                                    double median_event_time) const {
  return engine.latency.ratio(now, median_event_time, options_.latency);
}

double EngineRegistry::latencyRatio(Instant now, const EngineId& id) const {
  const EngineState* engine = find(id);
  if (engine == nullptr) return 1;
  return latencyRatio(now, *engine, medianEventTime(now, engine->record.service));
}

double EngineRegistry::expectedEventTime(Instant now, const EngineId& id) const {
  const EngineState* engine = find(id);
  if (engine == nullptr) return 0;
  const double median = medianEventTime(now, engine->record.service);
  return latencyRatio(now, *engine, median) * median;
}

double EngineRegistry::measuredEventTime(Instant now, const EngineId& id) const {
  const EngineState* engine = find(id);
  return engine == nullptr ? 0 : engine->latency.eventTime(now, options_.latency);
}

/// An engine whose memory runs out puts requests back, which then wait and are read anew.
double EngineRegistry::memoryFactor(Instant now, const EngineState& engine,
                                    const PickRequest& request, const Comparison& all) const {
  if (request.memory_tokens <= 0) return 1;
  // What others run there is not told; it is likely to be of the same kind.
  const double others =
      std::max(0.0, load(now, engine) - engine.load.inFlight()) * all.typical_tokens;
  const double used = (engine.load.tokens() + others + request.tokens) / request.memory_tokens;
  if (used <= kTightMemory) return 1;
  return std::min(kMaxMemoryFactor, 1 + (used - kTightMemory) / (1 - kTightMemory));
}

double EngineRegistry::expectedWait(Instant now, const EngineState& engine,
                                    const PickRequest& request, const Comparison& all) const {
  const double per_slot = load(now, engine) / std::max(1U, engine.record.slots);
  const double weight = request.batching ? kBatchWeight : kLoadWeight * engine.record.slots;
  double wait = (1 + weight * per_slot) * latencyRatio(now, engine, all.median_event_time);
  wait *= memoryFactor(now, engine, request, all);
  if (per_slot >= 1) wait *= 1 + per_slot;
  if (engine.record.zone != zone_ && !request.batching) wait *= options_.remote_factor;
  if (all.many_engines && !engine.latency.isRecent(now, options_.latency))
    wait *= kNewConnectionFactor;
  if (cold_.isCold(now, engine.record.id)) {
    wait *= cold_.isBounded(request.service) ? kBoundedColdFactor : kColdFactor;
  }
  return wait;
}

EngineRefusal EngineRegistry::admitPlace(const EngineState& engine,
                                         const PickRequest& request) const {
  if (engine.record.service != request.service) return EngineRefusal::kOtherService;
  if (engine.record.draining) return EngineRefusal::kDraining;
  if (closed_.contains(engine.record.zone)) return EngineRefusal::kZoneClosed;
  const bool within_residency = request.residency.allows(layout_.regionOf(engine.record.zone));
  return within_residency ? EngineRefusal::kNone : EngineRefusal::kOutsideResidency;
}

EngineRefusal EngineRegistry::admitVersion(const EngineState& engine,
                                           const PickRequest& request) const {
  if (request.model.empty()) return EngineRefusal::kNone;
  const WeightVersion version = engine.versionOf(request.model);
  const bool other = request.exact_version && version != *request.exact_version;
  const bool fits = !other && version >= request.minimum_version;
  return fits ? EngineRefusal::kNone : EngineRefusal::kOlderVersion;
}

EngineRefusal EngineRegistry::admit(Instant now, const EngineState& engine,
                                    const PickRequest& request) const {
  const EngineRefusal place = admitPlace(engine, request);
  if (place != EngineRefusal::kNone) return place;
  const EngineRefusal version = admitVersion(engine, request);
  if (version != EngineRefusal::kNone) return version;
  if (!cold_.hasRoom(now, request.service, engine.record.id)) return EngineRefusal::kCold;
  if (engine.loading.isLoading(now, request.model)) return EngineRefusal::kLoading;
  const double most = request.max_per_slot * std::max(1U, engine.record.slots);
  if (request.max_per_slot > 0 && load(now, engine) >= most) return EngineRefusal::kFull;
  if (request.last_resort) return EngineRefusal::kNone;
  if (engine.health.isEjected(now)) return EngineRefusal::kEjected;
  const bool excluded = request.excluded.contains(engine.record.id);
  return excluded ? EngineRefusal::kExcluded : EngineRefusal::kNone;
}

bool EngineRegistry::anyInPlace(const PickRequest& request) {
  last_refusals_ = refusal_tally();
  for (const engine_index::entry& each : index_.ofService(request.service)) {
    const EngineRefusal refusal = admitPlace(*each.engine, request);
    if (refusal == EngineRefusal::kNone) return true;
    last_refusals_.add(refusal);
  }
  return false;
}

WeightVersion EngineRegistry::newestHeld(const ServiceName& service, const ModelName& model) {
  const engine_index::holders& held = index_.holding(service, model);
  return held.empty() ? 0 : held.begin()->first;
}

EngineRegistry::Comparison EngineRegistry::compareFor(Instant now, const PickRequest& request) {
  Comparison all;
  all.median_event_time = medianEventTime(now, request.service);
  all.many_engines = index_.ofService(request.service).size() > options_.max_compared;
  if (request.memory_tokens > 0) all.typical_tokens = in_use_.meanTokens();
  if (request.prefer_newest) all.newest = newestHeld(request.service, request.model);
  return all;
}

void EngineRegistry::compare(Instant now, const PickRequest& request, const Comparison& all,
                             const engine_index::engine_order& engines, Choice& choice) {
  for (const engine_index::entry& each : engines) {
    if (choice.compared == options_.max_compared) return;
    ++examined_;
    const EngineState& engine = *each.engine;
    const EngineId& id = engine.record.id;
    const EngineRefusal refusal = admit(now, engine, request);
    if (refusal != EngineRefusal::kNone) {
      last_refusals_.add(refusal);
      if (refusal == EngineRefusal::kCold) cold_.onRefused(now, request.service, id);
      continue;
    }
    ++choice.compared;
    const double jitter = 1 + static_cast<double>(random_.below(kTieBreak)) / (20 * kTieBreak);
    double wait = expectedWait(now, engine, request, all) * jitter;
    if (engine.versionOf(request.model) < all.newest) wait *= kOlderVersionFactor;
    if (request.last_resort && request.excluded.contains(id)) wait *= kSlowestFactor;
    if (request.last_resort && engine.health.isEjected(now)) wait *= kSlowestFactor;
    if (choice.engine == nullptr || wait < choice.wait) {
      choice.engine = &engine;
      choice.wait = wait;
    }
  }
}

const EngineState* EngineRegistry::pick(Instant now, const PickRequest& request) {
  const Comparison all = compareFor(now, request);
  Choice choice;
  last_refusals_ = refusal_tally();
  const bool by_version = request.minimum_version > 0 || request.exact_version;
  if (request.model.empty() || !by_version) {
    compare(now, request, all, index_.ofService(request.service), choice);
    return choice.engine;
  }
  const WeightVersion oldest = request.exact_version.value_or(request.minimum_version);
  for (const auto& [version, engines] : index_.holding(request.service, request.model)) {
    if (version < oldest) {
      last_refusals_.add(EngineRefusal::kOlderVersion, engines.size());
    } else {
      compare(now, request, all, engines, choice);
    }
  }
  return choice.engine;
}

const EngineList& EngineRegistry::ofService(const ServiceName& service) const {
  static const EngineList kNone;
  const auto at = open_.find(service);
  return at == open_.end() ? kNone : at->second;
}

}  // namespace linenpier::engines
