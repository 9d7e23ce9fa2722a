#include "gateway/engines/engine_scorer.h"

#include <algorithm>

namespace linenpier::engines {

namespace {
/// Slowdown per request already at the engine, for engines that process requests one by one.
constexpr double kLoadWeight = 0.5;
/// Slowdown of a full batch, for engines that batch requests.
constexpr double kBatchWeight = 0.12;
/// Fraction of an engine's memory in use above which the score grows.
constexpr double kMemoryThreshold = 0.7;
constexpr double kMaxMemoryFactor = 4;
/// Factor of the expected wait at an engine with an older version, if the request prefers the
/// newest.
constexpr double kOlderVersionFactor = 1.5;
/// Factor of the expected wait at an excluded engine, and at an ejected engine. Applies twice to an
/// engine that is both.
constexpr double kLastResortFactor = 8;
constexpr double kColdFactor = 2;
/// Factor of the expected wait at a cold engine with a rate limit, so that the engine is used only
/// when the others are full.
constexpr double kBoundedColdFactor = 4;
/// Factor of the expected wait at an engine of a large service that this daemon has not used
/// recently, as the daemon has to connect first. The factor is larger than any random factor of
/// `engine_selector::jitter`, so that a daemon with few requests reuses its connections, but
/// smaller than the slowdown by one request at an engine that processes requests one by one.
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
  // Without a free slot, the request waits for the requests already at the engine.
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
  // Engines do not report the memory that requests of other daemons use; assume the mean of the
  // requests of this daemon.
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
