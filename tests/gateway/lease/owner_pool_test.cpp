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

/// Reads the leases at two times far enough apart to join a pool that lacks members.
void readTwice(owner_pool& pool, std::size_t wanted) {
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

Test(owner_pool, a_daemon_is_a_candidate_only_if_too_few_candidates_rank_above_it) {
  const lease_table empty = tableWith({});
  owner_pool first(empty, kSmall);
  readTwice(first, 2);
  cr_assert(first.isCandidate());
  const lease_table full = tableWith(
      {{makeLeaseId("x", "1"), lease_row{3, 0.5}}, {makeLeaseId("y", "1"), lease_row{4, 0.5}}});
  owner_pool small(full, kSmall);
  readTwice(small, 2);
  cr_assert_not(small.isCandidate(), "two faster machines are candidates");
  cr_assert_eq(small.ranked(kStart).size(), 2U);
  readTwice(small, 3);
  cr_assert(small.isCandidate());
  cr_assert_eq(small.ranked(kStart).back().lease, kOwn);
}

Test(owner_pool, a_daemon_is_a_candidate_if_its_zones_lack_members) {
  const lease_table table =
      tableWith({{makeLeaseId("x", "1"), lease_row{3, 0.5, {}, ZoneName("a")}},
                 {makeLeaseId("y", "1"), lease_row{4, 0.5, {}, ZoneName("a")}}});
  const lease::pool_requirements wanted{2, {{{ZoneName("b")}, 1}}};
  const auto isCandidateIn = [&](const lease::pool_requirements& demand, const char* zone) {
    owner_pool pool(table, kSmall, ZoneName(zone));
    pool.onLeasesRead(kStart - std::chrono::minutes(1), demand);
    pool.onLeasesRead(kStart, demand);
    return pool.isCandidate();
  };
  cr_assert(isCandidateIn(wanted, "b"));
  cr_assert_not(isCandidateIn(wanted, "c"), "it is not in those zones");
  cr_assert_not(isCandidateIn({2, {{{ZoneName("a"), ZoneName("b")}, 2}}}, "b"),
                "two candidates are there");
}

Test(owner_pool, a_faster_machine_ranks_before_a_slower_one) {
  const lease_table table = tableWith({{makeLeaseId("x", "1"), lease_row{3, 0.06}}});
  owner_pool large(table, kLarge);
  readTwice(large, 1);
  cr_assert(large.isCandidate());
  cr_assert_eq(large.ranked(kStart).front().lease, kOwn);
}

Test(owner_pool, owners_without_capacity_or_renewal_are_no_candidates) {
  lease_table table = tableWith(
      {{makeLeaseId("x", "1"), lease_row{3, 0.5}}, {makeLeaseId("y", "1"), lease_row{4}}});
  cr_assert_eq(table.candidates(kStart).size(), 1U);
  cr_assert(table.candidates(kStart + std::chrono::seconds(2)).empty());
}

Test(owner_pool, late_timers_reduce_the_capacity) {
  lease::capacity_estimator capacity(kLarge);
  const double unloaded = capacity.value();
  capacity.onTimerLateness(std::chrono::milliseconds(2));
  cr_assert_float_eq(capacity.value(), unloaded, 1e-9, "lateness within the tolerance");
  for (int i = 0; i < 20; ++i) capacity.onTimerLateness(std::chrono::milliseconds(100));
  cr_assert_lt(capacity.value(), 0.3 * unloaded);
  for (int i = 0; i < 30; ++i) capacity.onTimerLateness(Duration::zero());
  cr_assert_gt(capacity.value(), 0.9 * unloaded);
}

Test(owner_pool, a_slow_link_limits_the_capacity) {
  const lease::capacity_estimator capacity(lease::machine_limits{0.5, 60});
  cr_assert_float_eq(capacity.value(), 0.06, 1e-9);
}

Test(owner_pool, pool_members_take_over_before_other_daemons) {
  const lease_table table = tableWith(
      {{makeLeaseId("x", "1"), lease_row{3, 0.5}}, {makeLeaseId("y", "1"), lease_row{4, 0.5}}});
  owner_pool outside(table, kSmall);
  readTwice(outside, 1);
  owner_pool inside(table, kLarge);
  readTwice(inside, 3);
  cr_assert(outside.takeoverDelay(kStart, "m") > inside.takeoverDelay(kStart, "m"));
  const lease_table empty = tableWith({});
  const owner_pool alone(empty, kSmall);
  cr_assert(alone.takeoverDelay(kStart, "m") < outside.takeoverDelay(kStart, "m"),
            "there is no pool");
}

Test(owner_pool, joins_to_an_empty_pool_are_spread_over_time) {
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
