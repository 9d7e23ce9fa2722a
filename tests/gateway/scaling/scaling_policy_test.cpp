#include "gateway/scaling/scaling_policy.h"

#include <criterion/criterion.h>

using namespace linenpier;
using fleet::engine_group;
using fleet::PurchaseOption;
using fleet::scaling_bounds;
using scaling::OrderReason;
using scaling::scaling_decision;
using scaling::scaling_options;
using scaling::scaling_policy;
using scaling::scaling_record;
using scaling::scaling_view;
using scaling::ScalingMode;
using usage::FencedCallResult;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};
const engine_group kA{ZoneName("a"), PurchaseOption::kOnDemand};
const engine_group kB{ZoneName("b"), PurchaseOption::kOnDemand};
const engine_group kC{ZoneName("c"), PurchaseOption::kOnDemand};
const engine_group kSpotB{ZoneName("b"), PurchaseOption::kSpot};

Instant after(int seconds) {
  return kStart + std::chrono::seconds(seconds);
}

scaling_bounds bounds(std::size_t most = 8) {
  scaling_bounds all;
  all.min_engines = 1;
  all.max_engines = most;
  all.boot_time = std::chrono::seconds(4);
  all.spot_price = 0.22;
  all.zone_prices = {{ZoneName("a"), 1.0}, {ZoneName("b"), 0.8}, {ZoneName("c"), 1.25}};
  return all;
}

scaling_options options(ScalingMode mode = ScalingMode::kReplace) {
  scaling_options made;
  made.mode = mode;
  return made;
}

scaling_record fourEach() {
  scaling_record record;
  record.baseline = {{kA, 4}, {kB, 4}, {kC, 4}};
  return record;
}

scaling_view seen(std::size_t a, std::size_t b, std::size_t c) {
  scaling_view view;
  view.groups = {{kA, {a, 0, 0}}, {kB, {b, 0, 0}}, {kC, {c, 0, 0}}};
  return view;
}

scaling_view closing(scaling_view view, const char* zone) {
  view.closed.insert(ZoneName(zone));
  return view;
}

std::size_t wantedOf(const std::vector<scaling_decision>& due, const engine_group& group) {
  for (const scaling_decision& each : due) {
    if (each.group == group) return each.wanted;
  }
  return 0;
}

/// Executes the due orders as scaling_service does. @return these orders.
std::vector<scaling_decision> step(scaling_policy& policy, int second, const scaling_view& view,
                                   FencedCallResult answer = FencedCallResult::kAccepted,
                                   const scaling_bounds& within = bounds()) {
  auto due = policy.decide(after(second), within, view);
  for (const scaling_decision& each : due) {
    policy.onRecord(policy.withOrder(each));
    policy.onAnswer(after(second), each, answer);
  }
  return due;
}

}  // namespace

Test(scaling_policy, no_order_while_no_engine_is_missing) {
  scaling_policy policy(options(), kStart, fourEach());
  for (int second = 0; second < 120; ++second) {
    cr_assert(step(policy, second, seen(4, 4, 4)).empty());
  }
}

Test(scaling_policy, no_order_before_the_baseline_is_known) {
  scaling_policy policy(options(), kStart, {});
  cr_assert(policy.decide(kStart, bounds(), closing(seen(4, 4, 4), "c")).empty());
}

Test(scaling_policy, fixed_mode_sends_no_orders) {
  scaling_policy policy(options(ScalingMode::kFixed), kStart, fourEach());
  for (int second = 0; second < 60; ++second) {
    cr_assert(step(policy, second, closing(seen(4, 0, 4), "c")).empty());
  }
}

Test(scaling_policy, the_stable_engine_list_becomes_the_baseline) {
  scaling_policy policy(options(), kStart, {});
  cr_assert_not(policy.learnBaseline(after(0), seen(4, 1, 0)).has_value(),
                "engines are still being listed");
  cr_assert_not(policy.learnBaseline(after(2), seen(4, 3, 4)).has_value());
  cr_assert_not(policy.learnBaseline(after(4), seen(4, 3, 4)).has_value());
  const auto learned = policy.learnBaseline(after(5), seen(4, 3, 4));
  cr_assert(learned.has_value());
  cr_assert_eq(learned->baseline.at(kB), 3U);
  policy.onRecord(*learned);
  cr_assert_not(policy.learnBaseline(after(6), seen(4, 3, 4)).has_value());
}

Test(scaling_policy, engines_that_stay_without_an_order_raise_the_baseline) {
  scaling_policy policy(options(), kStart, fourEach());
  policy.decide(after(0), bounds(), seen(4, 6, 4));
  cr_assert_not(policy.learnBaseline(after(0), seen(4, 6, 4)).has_value(),
                "they may be replacements");
  policy.decide(after(11), bounds(), seen(4, 6, 4));
  const auto learned = policy.learnBaseline(after(11), seen(4, 6, 4));
  cr_assert(learned.has_value());
  cr_assert_eq(learned->baseline.at(kB), 6U);
}

Test(scaling_policy, engines_of_a_closed_zone_are_replaced_at_once_in_the_other_zones) {
  scaling_policy policy(options(), kStart, fourEach());
  const auto due = step(policy, 0, closing(seen(4, 4, 4), "c"));
  cr_assert_eq(due.size(), 2U, "no order for the closed zone");
  cr_assert_eq(wantedOf(due, kA), 6U);
  cr_assert_eq(wantedOf(due, kB), 6U);
  cr_assert(due.front().reason == OrderReason::kReplace);
}

Test(scaling_policy, the_remaining_engine_goes_to_the_cheaper_zone) {
  scaling_record record = fourEach();
  record.baseline[kC] = 3;
  scaling_policy policy(options(), kStart, record);
  const auto due = step(policy, 0, closing(seen(4, 4, 3), "c"));
  cr_assert_eq(wantedOf(due, kB), 6U);
  cr_assert_eq(wantedOf(due, kA), 5U);
}

Test(scaling_policy, replacements_stay_within_the_bounds) {
  scaling_policy policy(options(), kStart, fourEach());
  const auto due =
      step(policy, 0, closing(seen(4, 4, 4), "c"), FencedCallResult::kAccepted, bounds(5));
  cr_assert_eq(wantedOf(due, kA), 5U);
  cr_assert_eq(wantedOf(due, kB), 5U);
}

Test(scaling_policy, no_order_while_every_zone_is_closed) {
  scaling_policy policy(options(), kStart, fourEach());
  const auto view = closing(closing(closing(seen(4, 4, 4), "a"), "b"), "c");
  cr_assert(step(policy, 0, view).empty());
}

Test(scaling_policy, engines_of_a_lost_zone_are_replaced_after_the_loss_timeout) {
  scaling_policy policy(options(), kStart, fourEach());
  cr_assert(step(policy, 0, seen(4, 4, 0)).empty());
  cr_assert(step(policy, 2, seen(4, 4, 0)).empty());
  const auto due = step(policy, 3, seen(4, 4, 0));
  cr_assert_eq(wantedOf(due, kA), 6U);
  cr_assert_eq(wantedOf(due, kB), 6U);
}

Test(scaling_policy, a_partial_loss_repeats_the_order_with_backoff) {
  scaling_policy policy(options(), kStart, fourEach());
  for (int second = 0; second < 7; ++second) {
    cr_assert(step(policy, second, seen(4, 4, 3)).empty(), "the engine may reappear");
  }
  const auto due = step(policy, 7, seen(4, 4, 3));
  cr_assert_eq(due.size(), 1U);
  cr_assert_eq(due.front().wanted, 4U);
  cr_assert(due.front().reason == OrderReason::kRepeat);
  int orders = 1;
  for (int second = 8; second < 60; ++second) {
    orders += static_cast<int>(step(policy, second, seen(4, 4, 3)).size());
  }
  cr_assert(orders <= 5, "%d orders without an effect", orders);
}

Test(scaling_policy, reclaimed_spot_engines_are_replaced_at_the_notice) {
  scaling_record record = fourEach();
  record.baseline[kSpotB] = 3;
  scaling_policy policy(options(), kStart, record);
  scaling_view view = seen(4, 4, 4);
  view.groups[kSpotB] = {0, 3, 3};
  const auto due = step(policy, 0, view);
  std::size_t more = 0;
  for (const scaling_decision& each : due) {
    cr_assert(each.group.purchase == PurchaseOption::kOnDemand, "the group is without capacity");
    more += each.wanted - each.before;
  }
  cr_assert_eq(more, 3U);
  // They are ordered again after the reclaim backoff.
  view.groups[kSpotB] = {0, 0, 0};
  bool again = false;
  for (int second = 1; second < 30; ++second) {
    const auto later = step(policy, second, view);
    again = again || wantedOf(later, kSpotB) == 3;
    cr_assert(!again || second >= 9);
  }
  cr_assert(again);
}

Test(scaling_policy, a_draining_engine_is_not_a_reclaimed_one) {
  scaling_policy policy(options(), kStart, fourEach());
  scaling_view view = seen(4, 4, 3);
  view.groups[kC].draining = 1;
  cr_assert(step(policy, 0, view).empty());
}

Test(scaling_policy,
     engines_that_a_group_lacks_capacity_for_are_replaced_and_ordered_again_with_backoff) {
  scaling_policy policy(options(), kStart, fourEach());
  const scaling_view view = closing(seen(4, 4, 4), "c");
  const auto due = policy.decide(after(0), bounds(), view);
  for (const scaling_decision& each : due) {
    policy.onRecord(policy.withOrder(each));
    const bool refused = each.group == kA;
    policy.onAnswer(after(0), each,
                    refused ? FencedCallResult::kFenced : FencedCallResult::kAccepted);
  }
  const auto next = step(policy, 1, view);
  cr_assert_eq(next.size(), 1U);
  cr_assert_eq(wantedOf(next, kB), 8U, "all four in the zone with capacity");
  std::vector<int> attempts;
  for (int second = 2; second < 70; ++second) {
    scaling_view now = view;
    now.groups[kB].serving = 8;
    const auto more = policy.decide(after(second), bounds(), now);
    for (const scaling_decision& each : more) {
      if (each.group != kA || each.scalesDown()) continue;
      attempts.push_back(second);
      policy.onRecord(policy.withOrder(each));
      policy.onAnswer(after(second), each, FencedCallResult::kFenced);
    }
  }
  cr_assert(attempts.size() >= 3);
  cr_assert(attempts.size() <= 6, "%zu attempts", attempts.size());
  for (std::size_t i = 2; i < attempts.size(); ++i) {
    cr_assert(attempts[i] - attempts[i - 1] >= attempts[i - 1] - attempts[i - 2]);
  }
}

Test(scaling_policy, engines_of_an_unanswered_or_refused_order_are_not_ordered_in_another_group) {
  for (const FencedCallResult answer : {FencedCallResult::kUnknown, FencedCallResult::kRefused}) {
    scaling_policy policy(options(), kStart, fourEach());
    const scaling_view view = closing(seen(4, 4, 4), "c");
    cr_assert_eq(step(policy, 0, view, answer).size(), 2U);
    cr_assert(step(policy, 0, view).empty());
  }
}

Test(scaling_policy, a_rejected_call_is_retried) {
  scaling_policy policy(options(), kStart, fourEach());
  const scaling_view view = closing(seen(4, 4, 4), "c");
  cr_assert_eq(step(policy, 0, view, FencedCallResult::kRefused).size(), 2U);
  const auto again = step(policy, 1, view);
  cr_assert_eq(wantedOf(again, kA), 6U);
  cr_assert_eq(wantedOf(again, kB), 6U);
}

Test(scaling_policy, scale_down_is_slow_and_by_one_engine_at_a_time) {
  scaling_policy policy(options(), kStart, fourEach());
  step(policy, 0, closing(seen(4, 4, 4), "c"));
  for (int second = 1; second < 10; ++second) {
    cr_assert(step(policy, second, seen(6, 6, 4)).empty(), "at %d s", second);
  }
  const auto first = step(policy, 10, seen(6, 6, 4));
  cr_assert_eq(first.size(), 2U);
  for (const scaling_decision& each : first) {
    cr_assert_eq(each.wanted, 5U);
    cr_assert(each.scalesDown());
    cr_assert(each.reason == OrderReason::kSurplus);
  }
  cr_assert(step(policy, 11, seen(5, 5, 4)).empty());
  cr_assert(step(policy, 12, seen(5, 5, 4)).empty());
  const auto second = step(policy, 13, seen(5, 5, 4));
  cr_assert_eq(wantedOf(second, kA), 4U);
  for (int later = 20; later < 90; ++later) cr_assert(step(policy, later, seen(4, 4, 4)).empty());
}

Test(scaling_policy, a_scale_down_of_a_busy_zone_is_retried_later) {
  scaling_policy policy(options(), kStart, fourEach());
  step(policy, 0, closing(seen(4, 4, 4), "c"));
  policy.decide(after(1), bounds(), seen(6, 6, 4));
  const auto due = policy.decide(after(12), bounds(), seen(6, 6, 4));
  cr_assert_eq(due.size(), 2U);
  for (const scaling_decision& each : due) policy.onZoneBusy(after(12), each);
  cr_assert(policy.decide(after(13), bounds(), seen(6, 6, 4)).empty());
  cr_assert_eq(policy.decide(after(15), bounds(), seen(6, 6, 4)).size(), 2U);
}

Test(scaling_policy, a_new_leader_keeps_the_last_order) {
  scaling_record record = fourEach();
  record.ordered = {{kA, 6}, {kB, 6}};
  scaling_policy policy(options(), kStart, record);
  cr_assert(step(policy, 0, closing(seen(6, 6, 4), "c")).empty());
  // The same while the zone is open again, within the stabilization window.
  scaling_policy other(options(), kStart, record);
  for (int second = 0; second < 10; ++second) {
    cr_assert(step(other, second, seen(6, 6, 4)).empty());
  }
}

Test(scaling_policy, a_new_leader_sends_a_stored_order_that_was_not_executed) {
  scaling_record record = fourEach();
  record.ordered = {{kA, 6}, {kB, 6}};
  scaling_policy policy(options(), kStart, record);
  const auto due = step(policy, 0, closing(seen(4, 6, 4), "c"));
  cr_assert_eq(due.size(), 1U);
  cr_assert_eq(wantedOf(due, kA), 6U);
  cr_assert(due.front().reason == OrderReason::kRepeat);
}

Test(scaling_policy, an_order_executed_after_newer_ones_is_corrected) {
  scaling_options soon = options();
  soon.stabilization_window = std::chrono::seconds(3);
  scaling_policy policy(soon, kStart, fourEach());
  const scaling_view view = closing(seen(4, 4, 4), "c");
  step(policy, 0, view, FencedCallResult::kUnknown);
  const auto again = step(policy, 1, view);
  cr_assert_eq(wantedOf(again, kA), 6U);
  // The zone reopens and is scaled back to four; then the first order is executed.
  scaling_view now = seen(6, 6, 4);
  int second = 2;
  for (; second < 40 && now.groups[kA].serving > 4; ++second) {
    for (const scaling_decision& each : step(policy, second, now)) {
      now.groups[each.group].serving = each.wanted;
    }
  }
  cr_assert_eq(policy.record().current(kA), 4U);
  cr_assert(second < 13, "within the maximum delay of a call without a response");
  now.groups[kA].serving = 6;
  for (int end = second + 60; second < end; ++second) {
    for (const scaling_decision& each : step(policy, second, now)) {
      now.groups[each.group].serving = each.wanted;
    }
  }
  cr_assert_eq(now.groups[kA].serving, 4U);
  cr_assert_eq(policy.record().current(kA), 4U);
}

// Guards against a refusal that settles an earlier order, which may still be executed.
Test(scaling_policy, an_unanswered_order_executed_after_a_refused_one_is_corrected) {
  scaling_options soon = options();
  soon.stabilization_window = std::chrono::seconds(3);
  scaling_policy policy(soon, kStart, fourEach());
  const scaling_view view = closing(seen(4, 4, 4), "c");
  step(policy, 0, view, FencedCallResult::kUnknown);
  cr_assert_eq(wantedOf(step(policy, 1, view, FencedCallResult::kRefused), kA), 6U);
  cr_assert_eq(wantedOf(step(policy, 2, view), kA), 6U);
  scaling_view now = seen(6, 6, 4);
  const auto follow = [&](int from, int until) {
    for (int second = from; second < until; ++second) {
      for (const scaling_decision& each : step(policy, second, now)) {
        now.groups[each.group].serving = each.wanted;
      }
    }
  };
  follow(3, 14);
  cr_assert_eq(now.groups[kA].serving, 4U, "scaled back before the first order is executed");
  now.groups[kA].serving = 6;
  follow(14, 74);
  cr_assert_eq(now.groups[kA].serving, 4U);
}

Test(scaling_policy, demand_mode_scales_down_expensive_zones_to_half_their_baseline) {
  scaling_policy policy(options(ScalingMode::kDemand), kStart, fourEach());
  scaling_view view = seen(4, 4, 4);
  view.engines_for_work = 9;
  for (int second = 0; second < 90; ++second) {
    for (const scaling_decision& each : step(policy, second, view)) {
      view.groups[each.group].serving = each.wanted;
    }
  }
  cr_assert_eq(view.groups[kC].serving, 2U);
  cr_assert_eq(view.groups[kA].serving, 3U);
  cr_assert_eq(view.groups[kB].serving, 4U);
}

Test(scaling_policy, demand_mode_scales_up_with_spot_engines_and_falls_back_to_on_demand) {
  scaling_policy policy(options(ScalingMode::kDemand), kStart, fourEach());
  scaling_view view = seen(4, 4, 4);
  view.engines_for_work = 15;
  const auto due = step(policy, 0, view, FencedCallResult::kFenced);
  std::size_t spot = 0;
  for (const scaling_decision& each : due) {
    cr_assert(each.group.purchase == PurchaseOption::kSpot);
    cr_assert(each.reason == OrderReason::kWork);
    spot += each.wanted;
  }
  cr_assert_eq(spot, 3U);
  std::size_t on_demand = 0;
  for (const scaling_decision& each : step(policy, 1, view)) {
    if (each.group.purchase == PurchaseOption::kOnDemand) on_demand += each.wanted - each.before;
  }
  cr_assert_eq(on_demand, 3U);
}

Test(scaling_policy, demand_mode_does_not_scale_down_while_the_work_is_unknown) {
  scaling_policy policy(options(ScalingMode::kDemand), kStart, fourEach());
  for (int second = 0; second < 60; ++second) {
    cr_assert(step(policy, second, seen(4, 4, 4)).empty());
  }
}
