#include "gateway/engines/engine_scorer.h"

#include <algorithm>

namespace linenpier::engines {

namespace {
/// How much a request slows an engine that works on its requests one by one: of its own time, for
/// each request that is there already.
constexpr double kLoadWeight = 0.5;
/// How much a full batch slows an engine that works in batches.
constexpr double kBatchWeight = 0.12;
/// Used part of an engine's memory beyond which requests cost more.
constexpr double kMemoryThreshold = 0.7;
constexpr double kMaxMemoryFactor = 4;
/// Of an engine with an older version, for a request that prefers the newest.
constexpr double kOlderVersionFactor = 1.5;
/// Of an engine that the request excludes, and of one that is ejected; both multiply.
constexpr double kLastResortFactor = 8;
/// A cold engine is slow.
constexpr double kColdFactor = 2;
/// Where the fleet may send a cold engine little, it is taken when the others are full.
constexpr double kBoundedColdFactor = 4;
/// Of an engine of a large service that this daemon has not used lately: a connection must be
/// opened first. More than the jitter of equal choices, so that a daemon with few requests keeps to
/// its connections; less than one more request there costs.
constexpr double kNewConnectionFactor = 1.06;
}  // namespace

double engine_scorer::expectedWait(const engine_state& engine) const {
  const std::uint32_t slots = engine.record.slots;
  const double per_slot = engine.load.total(this->now_, this->options_.load) / std::max(1U, slots);
  const double weight = this->request_.batching ? kBatchWeight : kLoadWeight * slots;
  double wait = 1 + weight * per_slot;
  wait *=
      engine.latency.ratio(this->now_, this->context_.median_event_time, this->options_.latency);
  wait *= this->memoryFactor(engine);
  // Without a free slot the request waits for those that are there.
  if (per_slot >= 1) wait *= 1 + per_slot;
  const bool remote = engine.record.zone != this->zone_;
  if (remote && !this->request_.batching) wait *= this->options_.remote_factor;
  const bool connected = engine.latency.isRecent(this->now_, this->options_.latency);
  if (this->context_.many_engines && !connected) wait *= kNewConnectionFactor;
  return wait * this->coldFactor(engine);
}

double engine_scorer::penaltyFactor(const engine_state& engine) const {
  double factor = 1;
  const WeightVersion newest = this->context_.newest;
  const bool older = newest > 0 && engine.versionOf(this->request_.model) < newest;
  if (older) factor *= kOlderVersionFactor;
  if (!this->request_.last_resort) return factor;
  if (this->request_.excluded.contains(engine.record.id)) factor *= kLastResortFactor;
  if (engine.health.isEjected(this->now_)) factor *= kLastResortFactor;
  return factor;
}

double engine_scorer::memoryFactor(const engine_state& engine) const {
  if (this->request_.memory_tokens <= 0) return 1;
  const engine_load& load = engine.load;
  // Engines do not report the memory of others' requests; those are likely to be of the same kind.
  const double total = load.total(this->now_, this->options_.load);
  const double others = std::max(0.0, total - load.inFlight()) * this->context_.mean_tokens;
  const double used =
      (load.expectedTokens() + others + this->request_.tokens) / this->request_.memory_tokens;
  if (used <= kMemoryThreshold) return 1;
  return std::min(kMaxMemoryFactor, 1 + (used - kMemoryThreshold) / (1 - kMemoryThreshold));
}

double engine_scorer::coldFactor(const engine_state& engine) const {
  if (!this->cold_limiter_.isCold(this->now_, engine.record.id)) return 1;
  return this->cold_limiter_.isBounded(this->request_.service) ? kBoundedColdFactor : kColdFactor;
}

}  // namespace linenpier::engines
