#include "gateway/engines/cold_engine_limiter.h"

#include <algorithm>
#include <cmath>

namespace linenpier::engines {

namespace {
/// A daemon may send this fraction (1/n) of the limit to an engine that seems warm. If the engine
/// has turned cold meanwhile, two daemons that both send to it, as while a job changes its owner,
/// stay within the limit.
constexpr std::size_t kWarmLimitDivisor = 2;
/// A daemon with stale records may send only this fraction (1/n) of the limit to an engine that
/// seems warm, so that even three daemons stay within the limit.
constexpr std::size_t kStaleLimitDivisor = 3;
/// Number of senders that are assumed in addition to those known from their leases: the lease of a
/// sender may not be visible yet, or the sender can't reach the store.
constexpr std::size_t kExtraSenders = 1;
}  // namespace

const char* toText(ColdLimit limit) {
  switch (limit) {
    case ColdLimit::kUnbounded:
      return "unbounded";
    case ColdLimit::kWarm:
      return "warm";
    case ColdLimit::kStale:
      return "unheard";
    case ColdLimit::kShared:
      return "shared";
    case ColdLimit::kJustTurnedCold:
      return "pause";
    case ColdLimit::kRestarted:
      return "restart";
    case ColdLimit::kNotSender:
      return "no_sender";
  }
  return "unknown";
}

void cold_engine_limiter::setServices(const std::map<ServiceName, routing::Service>& services) {
  this->cold_per_second_.clear();
  for (const auto& [name, service] : services) {
    if (service.cold_per_second > 0) this->cold_per_second_[name] = service.cold_per_second;
  }
}

void cold_engine_limiter::onRecord(Instant now, const EngineId& engine, Duration cold_remaining) {
  const bool remembered = this->limitsAnyService() || cold_remaining > Duration::zero();
  if (!remembered && !this->engines_.contains(engine)) {
    this->onWatchAnswered(now);
    return;
  }
  const auto [at, is_new] = this->engines_.try_emplace(engine);
  engine_entry& state = at->second;
  const bool cold = this->isCold(now, state);
  // A record that is received again, from a peer or after a store outage, contains no new remaining
  // time.
  const bool repeated = !is_new && cold && cold_remaining == state.last_cold_remaining;
  state.last_cold_remaining = cold_remaining;
  state.recorded_at = now;
  this->onWatchAnswered(now);
  if (repeated || cold_remaining <= Duration::zero()) return;
  if (!cold) {
    state.cold_since = now;
    state.was_warm = !is_new;
  }
  // Records lag, so a shorter remaining time does not replace a longer one.
  state.cold_until = std::max(state.cold_until, now + cold_remaining);
}

void cold_engine_limiter::onSent(Instant now, const EngineId& engine) {
  if (this->cold_per_second_.empty()) return;
  engine_entry& state = this->engines_[engine];
  while (!state.sent.empty() && now - state.sent.front() >= this->timing_.window) {
    state.sent.pop_front();
  }
  state.sent.push_back(now);
}

void cold_engine_limiter::onRefused(Instant now, const ServiceName& service,
                                    const EngineId& engine) {
  ++this->refused_;
  cold_refusals& refusals = this->refusals_[engine];
  refusals.engine = engine;
  refusals.allowance = this->allowance(now, service, engine);
  refusals.sent = this->sent(now, engine);
  ++refusals.refused;
}

std::vector<cold_refusals> cold_engine_limiter::takeRefusals() {
  std::vector<cold_refusals> taken;
  for (auto& [id, refusals] : this->refusals_) taken.push_back(refusals);
  this->refusals_.clear();
  return taken;
}

const cold_engine_limiter::engine_entry* cold_engine_limiter::find(const EngineId& engine) const {
  const auto at = this->engines_.find(engine);
  return at == this->engines_.end() ? nullptr : &at->second;
}

bool cold_engine_limiter::isCold(Instant now, const EngineId& engine) const {
  const engine_entry* state = this->find(engine);
  return state != nullptr && this->isCold(now, *state);
}

std::size_t cold_engine_limiter::sent(Instant now, const engine_entry& state) const {
  const auto first = std::find_if(state.sent.begin(), state.sent.end(),
                                  [&](Instant at) { return now - at < this->timing_.window; });
  return static_cast<std::size_t>(state.sent.end() - first);
}

std::size_t cold_engine_limiter::sent(Instant now, const EngineId& engine) const {
  const engine_entry* state = this->find(engine);
  return state == nullptr ? 0 : this->sent(now, *state);
}

std::size_t cold_engine_limiter::totalLimit(const ServiceName& service) const {
  if (this->limit_.bound_factor <= 0) return 0;
  const auto at = this->cold_per_second_.find(service);
  if (at == this->cold_per_second_.end()) return 0;
  const double bound = at->second * this->limit_.bound_factor + this->limit_.extra_per_second;
  return static_cast<std::size_t>(std::max(1.0, std::floor(bound)));
}

cold_allowance cold_engine_limiter::coldAllowance(Instant now, const engine_entry& state,
                                                  std::size_t bound) const {
  const Duration window = this->timing_.window;
  if (now - this->started_at_ < window) return {ColdLimit::kRestarted, 0};
  if (!this->senders_.self || this->senders_.count == 0) return {ColdLimit::kNotSender, 0};
  if (state.was_warm && now - state.cold_since < window) return {ColdLimit::kJustTurnedCold, 0};
  return {ColdLimit::kShared, bound / (this->senders_.count + kExtraSenders)};
}

cold_allowance cold_engine_limiter::warmAllowance(Instant now, std::size_t bound) const {
  const double heartbeats =
      toSeconds(now - this->watch_answered_at_) / toSeconds(this->timing_.heartbeat);
  const bool current = heartbeats < this->timing_.stale_after_heartbeats;
  const bool settled = now - this->started_at_ >= this->timing_.window;
  const bool known = current && settled;
  const std::size_t divisor = known ? kWarmLimitDivisor : kStaleLimitDivisor;
  const ColdLimit limit = known ? ColdLimit::kWarm : ColdLimit::kStale;
  return {limit, std::max<std::size_t>(1, bound / divisor)};
}

cold_allowance cold_engine_limiter::allowance(Instant now, const ServiceName& service,
                                              const EngineId& engine) const {
  const std::size_t bound = this->totalLimit(service);
  return bound == 0 ? cold_allowance{} : this->allowance(now, this->find(engine), bound);
}

cold_allowance cold_engine_limiter::allowance(Instant now, const engine_entry* state,
                                              std::size_t bound) const {
  const bool cold = state != nullptr && this->isCold(now, *state);
  return cold ? this->coldAllowance(now, *state, bound) : this->warmAllowance(now, bound);
}

bool cold_engine_limiter::hasRoom(Instant now, const ServiceName& service,
                                  const EngineId& engine) const {
  const std::size_t bound = this->totalLimit(service);
  if (bound == 0) return true;
  // This function is called for every candidate engine, hence a single lookup.
  const engine_entry* state = this->find(engine);
  const std::size_t sent = state == nullptr ? 0 : this->sent(now, *state);
  return sent < this->allowance(now, state, bound).requests;
}

std::vector<cold_change> cold_engine_limiter::takeChanges(Instant now) {
  std::vector<cold_change> changes;
  for (auto& [id, state] : this->engines_) {
    const bool cold = this->isCold(now, state);
    if (cold == state.reported_cold) continue;
    state.reported_cold = cold;
    const Duration left = cold ? state.cold_until - now : Duration::zero();
    changes.push_back({id, cold, left, now - state.recorded_at});
  }
  return changes;
}

void cold_engine_limiter::sweep(Instant now, const std::function<bool(const EngineId&)>& listed) {
  std::erase_if(this->engines_, [&](const auto& each) {
    const engine_entry& state = each.second;
    const bool silent = now - state.recorded_at >= this->timing_.forget_after;
    const bool idle = !this->isCold(now, state) && this->sent(now, state) == 0;
    return silent && idle && !listed(each.first);
  });
}

}  // namespace linenpier::engines
