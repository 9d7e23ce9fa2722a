#include "gateway/lease/owner_pool.h"

#include <criterion/criterion.h>

using namespace linenpier;
using lease::lease_row;
using lease::lease_table;
using lease::makeLeaseId;
using lease::owner_pool;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};
const LeaseId kOwn = makeLeaseId("own", "a");
const lease::machine_limits kSmall{0.12, 60};
const lease::machine_limits kLarge{0.5, 600};

/// The pool is seen to lack members, or not, for long enough to join it.
void settle(owner_pool& pool, std::size_t wanted) {
  pool.onLeasesRead(kStart - std::chrono::minutes(1), lease::pool_requirements{wanted});
  pool.onLeasesRead(kStart, lease::pool_requirements{wanted});
}

lease_table tableWith(const std::map<LeaseId, lease_row>& rows) {
  lease_table table(kOwn, {}, kStart);
  table.onStoreRegained(kStart);
  table.onRead(kStart, kStart, rows);
  return table;
}

}  // namespace

Test(owner_pool, a_daemon_offers_itself_only_while_too_few_better_ones_do) {
  const lease_table empty = tableWith({});
  owner_pool first(empty, kSmall);
  settle(first, 2);
  cr_assert(first.isCandidate());
  const lease_table full = tableWith(
      {{makeLeaseId("x", "1"), lease_row{3, 0.5}}, {makeLeaseId("y", "1"), lease_row{4, 0.5}}});
  owner_pool small(full, kSmall);
  settle(small, 2);
  cr_assert_not(small.isCandidate(), "two faster machines offer themselves");
  cr_assert_eq(small.ranked(kStart).size(), 2U);
  settle(small, 3);
  cr_assert(small.isCandidate());
  cr_assert_eq(small.ranked(kStart).back().lease, kOwn);
}

Test(owner_pool, a_daemon_offers_itself_where_its_place_lacks_members) {
  const lease_table table =
      tableWith({{makeLeaseId("x", "1"), lease_row{3, 0.5, {}, ZoneName("a")}},
                 {makeLeaseId("y", "1"), lease_row{4, 0.5, {}, ZoneName("a")}}});
  const lease::pool_requirements wanted{2, {{{ZoneName("b")}, 1}}};
  const auto settled = [&](const lease::pool_requirements& demand, const char* zone) {
    owner_pool pool(table, kSmall, ZoneName(zone));
    pool.onLeasesRead(kStart - std::chrono::minutes(1), demand);
    pool.onLeasesRead(kStart, demand);
    return pool.isCandidate();
  };
  cr_assert(settled(wanted, "b"));
  cr_assert_not(settled(wanted, "c"), "it is not in that place");
  cr_assert_not(settled({2, {{{ZoneName("a"), ZoneName("b")}, 2}}}, "b"), "two are there");
}

Test(owner_pool, a_faster_machine_displaces_a_slower_one) {
  const lease_table table = tableWith({{makeLeaseId("x", "1"), lease_row{3, 0.06}}});
  owner_pool large(table, kLarge);
  settle(large, 1);
  cr_assert(large.isCandidate());
  cr_assert_eq(large.ranked(kStart).front().lease, kOwn);
}

Test(owner_pool, owners_that_told_no_capacity_or_fell_silent_are_no_candidates) {
  lease_table table = tableWith(
      {{makeLeaseId("x", "1"), lease_row{3, 0.5}}, {makeLeaseId("y", "1"), lease_row{4}}});
  cr_assert_eq(table.candidates(kStart).size(), 1U);
  cr_assert(table.candidates(kStart + std::chrono::seconds(2)).empty());
}

Test(owner_pool, a_machine_whose_timers_run_late_counts_less) {
  lease::capacity_estimator capacity(kLarge);
  const double calm = capacity.value();
  capacity.onTimerLateness(std::chrono::milliseconds(2));
  cr_assert_float_eq(capacity.value(), calm, 1e-9, "timers are always a little late");
  for (int i = 0; i < 20; ++i) capacity.onTimerLateness(std::chrono::milliseconds(100));
  cr_assert_lt(capacity.value(), 0.3 * calm);
  for (int i = 0; i < 30; ++i) capacity.onTimerLateness(Duration::zero());
  cr_assert_gt(capacity.value(), 0.9 * calm);
}

Test(owner_pool, a_slow_link_counts_as_a_slow_machine) {
  const lease::capacity_estimator capacity(lease::machine_limits{0.5, 60});
  cr_assert_float_eq(capacity.value(), 0.06, 1e-9);
}

Test(owner_pool, daemons_outside_the_pool_let_its_members_take_over_first) {
  const lease_table table = tableWith(
      {{makeLeaseId("x", "1"), lease_row{3, 0.5}}, {makeLeaseId("y", "1"), lease_row{4, 0.5}}});
  owner_pool outside(table, kSmall);
  settle(outside, 1);
  owner_pool inside(table, kLarge);
  settle(inside, 3);
  cr_assert(outside.takeoverDelay(kStart, "m") > inside.takeoverDelay(kStart, "m"));
  const lease_table empty = tableWith({});
  const owner_pool alone(empty, kSmall);
  cr_assert(alone.takeoverDelay(kStart, "m") < outside.takeoverDelay(kStart, "m"),
            "there is no pool");
}

Test(owner_pool, of_a_large_fleet_only_some_join_before_they_see_each_other) {
  int at_once = 0;
  int within_a_second = 0;
  for (int i = 0; i < 300; ++i) {
    lease_table table(makeLeaseId("d" + std::to_string(i), "a"), {}, kStart);
    table.onStoreRegained(kStart);
    owner_pool pool(table, kLarge);
    pool.onLeasesRead(kStart, lease::pool_requirements{8});
    at_once += pool.isCandidate() ? 1 : 0;
    pool.onLeasesRead(kStart + std::chrono::seconds(1), lease::pool_requirements{8});
    within_a_second += pool.isCandidate() ? 1 : 0;
  }
  cr_assert_leq(at_once, 3);
  cr_assert_gt(within_a_second, 8);
  cr_assert_lt(within_a_second, 60);
}
