#include "gateway/scaling/scaling_policy.h"

#include <algorithm>

namespace linenpier::scaling {

using usage::FencedCallResult;

namespace {

/// Wait after a call that the platform rejected without processing it, such as for rate limiting,
/// or that got no response.
constexpr Duration kRefusedBackoff = std::chrono::seconds(1);
/// A call without a response may be executed up to this long after it was sent.
constexpr Duration kMaxCarryOutDelay = std::chrono::seconds(15);

/// Sets `since` to the time from which on a condition holds; zero while it does not hold.
void updateSince(Instant now, bool holds, Instant& since) {
  if (!holds) since = Instant{};
  if (holds && since == Instant{}) since = now;
}

bool heldFor(Instant now, Instant since, Duration time) {
  return since != Instant{} && now - since >= time;
}

}  // namespace

scaling_policy::scaling_policy(const scaling_options& options, Instant now, scaling_record record)
    : options_(options), record_(std::move(record)) {
  // The previous leader may have stored an order without sending it.
  for (const auto& [group, count] : this->record_.ordered) {
    group_state& state = this->states_[group];
    state.unconfirmed = true;
    state.unanswered_at = now;
    state.needed_at = now;
  }
}

std::optional<scaling_record> scaling_policy::learnBaseline(Instant now, const scaling_view& view) {
  const bool unknown = this->record_.baseline.empty();
  if (unknown && (this->unchanged_since_ == Instant{} || view.groups != this->first_groups_)) {
    this->first_groups_ = view.groups;
    this->unchanged_since_ = now;
  }
  // The engines of a starting fleet appear in the list one by one.
  if (unknown && now - this->unchanged_since_ < this->options_.settle) return std::nullopt;
  scaling_record learned = this->record_;
  for (const auto& [group, seen] : view.groups) {
    if (seen.serving <= this->record_.current(group)) continue;
    if (this->record_.ordered.contains(group)) continue;
    const auto state = this->states_.find(group);
    const bool stays = state != this->states_.end() && heldFor(now, state->second.surplus_since,
                                                               this->options_.stabilization_window);
    if (unknown || stays) learned.baseline[group] = seen.serving;
  }
  if (learned == this->record_) return std::nullopt;
  return learned;
}

void scaling_policy::observe(Instant now, const scaling_view& view) {
  std::set<fleet::engine_group> groups;
  for (const auto& [group, seen] : view.groups) groups.insert(group);
  for (const auto& [group, count] : this->record_.baseline) groups.insert(group);
  for (const auto& [group, count] : this->record_.ordered) groups.insert(group);
  for (const fleet::engine_group& group : groups) {
    const observed_engines seen = view.of(group);
    const std::size_t current = this->record_.current(group);
    group_state& state = this->states_[group];
    updateSince(now, seen.serving < current, state.missing_since);
    updateSince(now, seen.serving > current, state.surplus_since);
    if (seen.serving >= current) state.repeats = 0;
    if (seen.reclaimed > 0) state.no_capacity_until = now + this->options_.reclaim_backoff;
  }
}

bool scaling_policy::zoneAvailable(Instant now, const scaling_view& view,
                                   const ZoneName& zone) const {
  if (view.closed.contains(zone)) return false;
  bool lost = countInZone(this->record_.baseline, zone) > 0;
  for (const fleet::PurchaseOption purchase :
       {fleet::PurchaseOption::kOnDemand, fleet::PurchaseOption::kSpot}) {
    const fleet::engine_group group{zone, purchase};
    if (this->record_.current(group) == 0) continue;
    const observed_engines seen = view.of(group);
    const auto state = this->states_.find(group);
    const bool missing = state != this->states_.end() &&
                         heldFor(now, state->second.missing_since, this->options_.loss_timeout);
    if (!missing || seen.serving > 0 || seen.draining > 0) lost = false;
  }
  return !lost;
}

target_inputs scaling_policy::targetInputs(Instant now, const fleet::scaling_bounds& bounds,
                                           const scaling_view& view) const {
  target_inputs inputs{this->options_, bounds, view, this->record_.baseline, {}, {}};
  for (const ZoneName& zone : zonesOf(this->record_.baseline)) {
    if (!this->zoneAvailable(now, view, zone)) inputs.unavailable.insert(zone);
  }
  for (const auto& [group, state] : this->states_) {
    if (now < state.no_capacity_until) inputs.without_capacity.insert(group);
  }
  return inputs;
}

std::vector<scaling_decision> scaling_policy::decide(Instant now,
                                                     const fleet::scaling_bounds& bounds,
                                                     const scaling_view& view) {
  std::vector<scaling_decision> more;
  std::vector<scaling_decision> fewer;
  if (this->options_.mode == ScalingMode::kFixed || this->record_.baseline.empty()) return more;
  this->observe(now, view);
  const scaling_targets targets = computeTargets(this->targetInputs(now, bounds, view));
  const OrderReason reason = targets.to_replace > 0 ? OrderReason::kReplace : OrderReason::kWork;
  for (const auto& [group, wanted] : targets.wanted) {
    const std::size_t have = view.of(group).serving;
    const auto due =
        this->orderDue(now, bounds, {group, have, this->record_.current(group), wanted, reason});
    if (due) (due->scalesDown() ? fewer : more).push_back(*due);
  }
  more.insert(more.end(), fewer.begin(), fewer.end());
  return more;
}

std::optional<scaling_decision> scaling_policy::orderDue(Instant now,
                                                         const fleet::scaling_bounds& bounds,
                                                         scaling_decision candidate) {
  group_state& state = this->states_[candidate.group];
  if (candidate.wanted >= candidate.before) state.needed_at = now;
  if (now < state.paused_until || now < state.no_capacity_until) return std::nullopt;
  if (candidate.wanted > candidate.before) return candidate;
  if (candidate.wanted < candidate.before)
    return this->scaleDownDue(now, state.needed_at, candidate);
  return this->repeatDue(now, bounds, candidate);
}

std::optional<scaling_decision> scaling_policy::scaleDownDue(Instant now, Instant since,
                                                             scaling_decision candidate) const {
  const group_state& state = this->states_.at(candidate.group);
  if (now - since < this->options_.stabilization_window) return std::nullopt;
  if (now - state.scaled_down_at < this->options_.scale_down_interval) return std::nullopt;
  // A scale-down stops one running engine at a time, but cancels at once all engines that were
  // ordered and have not started.
  const std::size_t step = candidate.have >= candidate.before ? 1 : 0;
  const std::size_t fewer = candidate.have - std::min(step, candidate.have);
  candidate.wanted = std::max(candidate.wanted, fewer);
  candidate.reason = OrderReason::kSurplus;
  return candidate;
}

std::optional<scaling_decision> scaling_policy::repeatDue(Instant now,
                                                          const fleet::scaling_bounds& bounds,
                                                          scaling_decision candidate) const {
  const group_state& state = this->states_.at(candidate.group);
  candidate.reason = OrderReason::kRepeat;
  // An order without a response may have been executed after newer orders.
  if (candidate.have > candidate.before && state.unanswered_at != Instant{}) {
    return this->scaleDownDue(now, state.surplus_since, candidate);
  }
  if (candidate.have >= candidate.before) return std::nullopt;
  if (state.unconfirmed) return candidate;
  const Duration timeout = bounds.boot_time + this->options_.boot_slack;
  const Duration after_order = state.repeats > 0 ? this->backoff(state.repeats) + timeout : timeout;
  const bool waited =
      heldFor(now, state.missing_since, timeout) && now - state.ordered_at >= after_order;
  if (!waited) return std::nullopt;
  return candidate;
}

scaling_record scaling_policy::withOrder(const scaling_decision& decision) const {
  scaling_record changed = this->record_;
  changed.ordered[decision.group] = decision.wanted;
  return changed;
}

Duration scaling_policy::backoff(int failures) const {
  Duration pause = this->options_.first_backoff;
  for (int i = 1; i < failures && pause < this->options_.max_backoff; ++i) pause *= 2;
  return std::min(pause, this->options_.max_backoff);
}

void scaling_policy::onAnswer(Instant now, const scaling_decision& decision,
                              FencedCallResult answer) {
  group_state& state = this->states_[decision.group];
  state.unconfirmed = answer != FencedCallResult::kAccepted;
  if (decision.scalesDown()) state.scaled_down_at = now;
  switch (answer) {
    case FencedCallResult::kAccepted:
      state.refusals = 0;
      state.ordered_at = now;
      if (decision.reason == OrderReason::kRepeat) ++state.repeats;
      if (now - state.unanswered_at >= kMaxCarryOutDelay) state.unanswered_at = Instant{};
      break;
    case FencedCallResult::kFenced:
      // The platform returns the same status for an outdated token and for a lack of capacity.
      state.no_capacity_until = now + this->backoff(++state.refusals);
      break;
    case FencedCallResult::kRefused:
      state.paused_until = now + kRefusedBackoff;
      break;
    case FencedCallResult::kUnknown:
      state.unanswered_at = now;
      state.paused_until = now + kRefusedBackoff;
      break;
  }
}

void scaling_policy::onZoneBusy(Instant now, const scaling_decision& decision) {
  this->states_[decision.group].scaled_down_at = now;
}

}  // namespace linenpier::scaling
