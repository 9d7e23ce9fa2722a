#include "gateway/scaling/scaling_policy.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace linenpier::scaling {

using usage::DutyAnswer;

namespace {

/// Of calls that the platform turned away unread, as for their rate.
constexpr Duration kRefusedPause = std::chrono::seconds(1);
/// A call without an answer is carried out at most so much later, as far as the platform tells.
constexpr Duration kLatestCarriedOut = std::chrono::seconds(15);

std::size_t sumOf(const fleet::group_counts& counts) {
  std::size_t sum = 0;
  for (const auto& [group, count] : counts) sum += count;
  return sum;
}

std::size_t countOf(const fleet::group_counts& counts, const fleet::engine_group& group) {
  const auto at = counts.find(group);
  return at == counts.end() ? 0 : at->second;
}

std::size_t inZone(const fleet::group_counts& counts, const ZoneName& zone) {
  return countOf(counts, {zone, fleet::EngineKind::kOnDemand}) +
         countOf(counts, {zone, fleet::EngineKind::kSpot});
}

/// Notes since when something holds.
void note(Instant now, bool holds, Instant& since) {
  if (!holds) since = Instant{};
  if (holds && since == Instant{}) since = now;
}

bool lasts(Instant now, Instant since, Duration time) {
  return since != Instant{} && now - since >= time;
}

}  // namespace

const char* toText(OrderReason reason) {
  switch (reason) {
    case OrderReason::kReplace:
      return "replace";
    case OrderReason::kWork:
      return "work";
    case OrderReason::kRepeat:
      return "repeat";
    case OrderReason::kSurplus:
      return "surplus";
  }
  return "unknown";
}

observed_engines scaling_view::of(const fleet::engine_group& group) const {
  const auto at = this->groups.find(group);
  return at == this->groups.end() ? observed_engines{} : at->second;
}

scaling_policy::scaling_policy(const scaling_options& options, Instant now, scaling_record record)
    : options_(options), record_(std::move(record)) {
  // The last holder may have ended before its call, or right after it.
  for (const auto& [group, count] : this->record_.ordered) {
    group_state& state = this->states_[group];
    state.unconfirmed = true;
    state.unknown_at = now;
    state.needed_at = now;
  }
}

std::optional<scaling_record> scaling_policy::learn(Instant now, const scaling_view& view) {
  const bool unknown = this->record_.usual.empty();
  if (unknown && (this->unchanged_since_ == Instant{} || view.groups != this->first_look_)) {
    this->first_look_ = view.groups;
    this->unchanged_since_ = now;
  }
  // A fleet that starts is listed one after the other.
  if (unknown && now - this->unchanged_since_ < this->options_.settle) return std::nullopt;
  scaling_record learned = this->record_;
  for (const auto& [group, seen] : view.groups) {
    if (seen.serving <= this->record_.current(group)) continue;
    if (this->record_.ordered.contains(group)) continue;
    const auto state = this->states_.find(group);
    const bool stays = state != this->states_.end() &&
                       lasts(now, state->second.surplus_since, this->options_.hold);
    if (unknown || stays) learned.usual[group] = seen.serving;
  }
  if (learned == this->record_) return std::nullopt;
  return learned;
}

void scaling_policy::observe(Instant now, const scaling_view& view) {
  std::set<fleet::engine_group> groups;
  for (const auto& [group, seen] : view.groups) groups.insert(group);
  for (const auto& [group, count] : this->record_.usual) groups.insert(group);
  for (const auto& [group, count] : this->record_.ordered) groups.insert(group);
  for (const fleet::engine_group& group : groups) {
    const observed_engines seen = view.of(group);
    const std::size_t current = this->record_.current(group);
    group_state& state = this->states_[group];
    note(now, seen.serving < current, state.missing_since);
    note(now, seen.serving > current, state.surplus_since);
    if (seen.serving >= current) state.repeats = 0;
    if (seen.reclaimed > 0) state.scarce_until = now + this->options_.reclaim_pause;
  }
}

bool scaling_policy::scarce(Instant now, const fleet::engine_group& group) const {
  const auto at = this->states_.find(group);
  return at != this->states_.end() && now < at->second.scarce_until;
}

std::set<ZoneName> scaling_policy::zones() const {
  std::set<ZoneName> found;
  for (const auto& [group, count] : this->record_.usual) found.insert(group.zone);
  return found;
}

bool scaling_policy::zoneAvailable(Instant now, const scaling_view& view,
                                   const ZoneName& zone) const {
  if (view.closed.contains(zone)) return false;
  bool lost = inZone(this->record_.usual, zone) > 0;
  for (const fleet::EngineKind kind : {fleet::EngineKind::kOnDemand, fleet::EngineKind::kSpot}) {
    const fleet::engine_group group{zone, kind};
    if (this->record_.current(group) == 0) continue;
    const observed_engines seen = view.of(group);
    const auto state = this->states_.find(group);
    const bool gone = state != this->states_.end() &&
                      lasts(now, state->second.missing_since, this->options_.loss_patience);
    if (!gone || seen.serving > 0 || seen.draining > 0) lost = false;
  }
  return !lost;
}

std::size_t scaling_policy::place(Instant now, const fleet::scaling_bounds& bounds,
                                  std::size_t count, fleet::EngineKind kind,
                                  fleet::group_counts& wanted) const {
  for (; count > 0; --count) {
    fleet::group_counts::iterator best = wanted.end();
    std::tuple<std::size_t, double> best_rank;
    for (auto at = wanted.begin(); at != wanted.end(); ++at) {
      const fleet::engine_group& group = at->first;
      if (group.kind != kind || this->scarce(now, group)) continue;
      if (inZone(wanted, group.zone) >= bounds.most) continue;
      const std::size_t usual = countOf(this->record_.usual, group);
      const std::size_t extra = at->second > usual ? at->second - usual : 0;
      const std::tuple<std::size_t, double> rank{extra, bounds.priceOf(group)};
      if (best != wanted.end() && best_rank <= rank) continue;
      best = at;
      best_rank = rank;
    }
    if (best == wanted.end()) return count;
    ++best->second;
  }
  return 0;
}

void scaling_policy::spare(const fleet::scaling_bounds& bounds, std::size_t count,
                           fleet::group_counts& wanted) const {
  for (; count > 0; --count) {
    fleet::group_counts::iterator best = wanted.end();
    for (auto at = wanted.begin(); at != wanted.end(); ++at) {
      const std::size_t usual = inZone(this->record_.usual, at->first.zone);
      const auto kept = static_cast<std::size_t>(
          std::ceil(static_cast<double>(usual) * this->options_.keep_share));
      const std::size_t least = std::max(kept, bounds.least);
      if (at->second == 0 || inZone(wanted, at->first.zone) <= least) continue;
      const bool dearer =
          best == wanted.end() || bounds.priceOf(at->first) > bounds.priceOf(best->first);
      if (dearer) best = at;
    }
    if (best == wanted.end()) return;
    --best->second;
  }
}

void scaling_policy::hold(const fleet::scaling_bounds& bounds, fleet::group_counts& wanted) {
  for (auto& [group, count] : wanted) {
    if (group.kind != fleet::EngineKind::kOnDemand) continue;
    const std::size_t spot = countOf(wanted, {group.zone, fleet::EngineKind::kSpot});
    if (count + spot < bounds.least) count = bounds.least - spot;
    if (count + spot > bounds.most) count = bounds.most - std::min(spot, bounds.most);
  }
}

scaling_policy::targets scaling_policy::aim(Instant now, const fleet::scaling_bounds& bounds,
                                            const scaling_view& view) const {
  targets found;
  for (const ZoneName& zone : this->zones()) {
    if (!this->zoneAvailable(now, view, zone)) {
      found.missing += inZone(this->record_.usual, zone);
      continue;
    }
    for (const fleet::EngineKind kind : {fleet::EngineKind::kOnDemand, fleet::EngineKind::kSpot}) {
      const fleet::engine_group group{zone, kind};
      const std::size_t usual = countOf(this->record_.usual, group);
      const std::size_t there = std::min(usual, view.of(group).serving);
      const bool unattainable = this->scarce(now, group);
      found.wanted[group] = unattainable ? there : usual;
      if (unattainable) found.missing += usual - there;
    }
  }
  const std::size_t usual = sumOf(this->record_.usual);
  std::size_t needed = usual;
  if (this->options_.mode == ScalingMode::kDemand) needed = view.engines_for_work.value_or(usual);
  std::size_t fewer = usual - std::min(usual, needed);
  const std::size_t not_missed = std::min(fewer, found.missing);
  found.missing -= not_missed;
  fewer -= not_missed;
  this->spare(bounds, fewer, found.wanted);
  const std::size_t left =
      this->place(now, bounds, found.missing, fleet::EngineKind::kOnDemand, found.wanted);
  std::size_t more = needed - std::min(usual, needed) + left;
  if (bounds.spot_price < 1) {
    more = this->place(now, bounds, more, fleet::EngineKind::kSpot, found.wanted);
  }
  this->place(now, bounds, more, fleet::EngineKind::kOnDemand, found.wanted);
  hold(bounds, found.wanted);
  return found;
}

std::optional<count_decision> scaling_policy::shrink(Instant now, Instant since,
                                                     count_decision change) const {
  const group_state& state = this->states_.at(change.group);
  if (now - since < this->options_.hold) return std::nullopt;
  if (now - state.shrunk_at < this->options_.shrink_gap) return std::nullopt;
  // One engine after the other; what is not there yet need not come.
  const std::size_t step = change.have >= change.before ? 1 : 0;
  const std::size_t fewer = change.have - std::min(step, change.have);
  change.wanted = std::max(change.wanted, fewer);
  change.reason = OrderReason::kSurplus;
  return change;
}

std::optional<count_decision> scaling_policy::repeat(Instant now,
                                                     const fleet::scaling_bounds& bounds,
                                                     count_decision change) const {
  const group_state& state = this->states_.at(change.group);
  change.reason = OrderReason::kRepeat;
  if (change.have > change.before && state.unknown_at != Instant{}) {
    return this->shrink(now, state.surplus_since, change);
  }
  if (change.have >= change.before) return std::nullopt;
  if (state.unconfirmed) return change;
  const Duration timeout = bounds.boot_time + this->options_.boot_slack;
  const Duration after_order = state.repeats > 0 ? this->backoff(state.repeats) + timeout : timeout;
  const bool waited =
      lasts(now, state.missing_since, timeout) && now - state.ordered_at >= after_order;
  if (!waited) return std::nullopt;
  return change;
}

std::optional<count_decision> scaling_policy::compare(Instant now,
                                                      const fleet::scaling_bounds& bounds,
                                                      count_decision change) {
  group_state& state = this->states_[change.group];
  if (change.wanted >= change.before) state.needed_at = now;
  const bool paused = now < state.paused_until || this->scarce(now, change.group);
  if (paused) return std::nullopt;
  if (change.wanted > change.before) return change;
  if (change.wanted < change.before) return this->shrink(now, state.needed_at, change);
  return this->repeat(now, bounds, change);
}

std::vector<count_decision> scaling_policy::decide(Instant now, const fleet::scaling_bounds& bounds,
                                                   const scaling_view& view) {
  std::vector<count_decision> more;
  std::vector<count_decision> fewer;
  if (this->options_.mode == ScalingMode::kFixed || this->record_.usual.empty()) return more;
  this->observe(now, view);
  const targets found = this->aim(now, bounds, view);
  const OrderReason reason = found.missing > 0 ? OrderReason::kReplace : OrderReason::kWork;
  for (const auto& [group, wanted] : found.wanted) {
    const std::size_t have = view.of(group).serving;
    const auto decided =
        this->compare(now, bounds, {group, have, this->record_.current(group), wanted, reason});
    if (decided) (decided->takesAway() ? fewer : more).push_back(*decided);
  }
  more.insert(more.end(), fewer.begin(), fewer.end());
  return more;
}

scaling_record scaling_policy::withOrder(const count_decision& decision) const {
  scaling_record changed = this->record_;
  changed.ordered[decision.group] = decision.wanted;
  return changed;
}

Duration scaling_policy::backoff(int step) const {
  Duration pause = this->options_.first_backoff;
  for (int i = 1; i < step && pause < this->options_.max_backoff; ++i) pause *= 2;
  return std::min(pause, this->options_.max_backoff);
}

void scaling_policy::onAnswer(Instant now, const count_decision& decision, DutyAnswer answer) {
  group_state& state = this->states_[decision.group];
  state.unconfirmed = answer != DutyAnswer::kTaken;
  if (decision.takesAway()) state.shrunk_at = now;
  switch (answer) {
    case DutyAnswer::kTaken:
      state.refusals = 0;
      state.ordered_at = now;
      if (decision.reason == OrderReason::kRepeat) ++state.repeats;
      if (now - state.unknown_at >= kLatestCarriedOut) state.unknown_at = Instant{};
      break;
    case DutyAnswer::kFenced:
      state.scarce_until = now + this->backoff(++state.refusals);
      break;
    case DutyAnswer::kRefused:
      state.paused_until = now + kRefusedPause;
      break;
    case DutyAnswer::kUnknown:
      state.unknown_at = now;
      state.paused_until = now + kRefusedPause;
      break;
  }
}

void scaling_policy::onBusy(Instant now, const count_decision& decision) {
  this->states_[decision.group].shrunk_at = now;
}

std::optional<std::size_t> work_peak::onOpenItems(Instant now, const scaling_options& options,
                                                  std::size_t items, std::uint32_t slots) {
  if (this->begun_at_ == Instant{}) this->begun_at_ = now;
  std::erase_if(this->items_, [&](const auto& each) {
    return each.second <= items || now - each.first > options.work_memory;
  });
  this->items_[now] = items;
  if (now - this->begun_at_ < options.work_memory) return std::nullopt;
  const std::size_t most = this->items_.begin()->second;
  const double per_engine = std::max(1U, slots) * options.items_per_slot;
  return static_cast<std::size_t>(std::ceil(static_cast<double>(most) / per_engine));
}

}  // namespace linenpier::scaling
