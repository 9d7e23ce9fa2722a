#include "gateway/lease/lease_table.h"

#include <criterion/criterion.h>

using namespace linenpier;
using lease::decodeLeaseRow;
using lease::encodeLeaseRow;
using lease::lease_row;
using lease::lease_table;
using lease::makeLeaseId;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};
const LeaseId kOwn = makeLeaseId("d1", "b");
const LeaseId kOther = makeLeaseId("d2", "a");

/// Reads `revision` for the lease of `kOther`. @return whether `lease` has expired.
bool expiredAfterRead(lease_table& table, Instant now, const LeaseId& lease,
                      Revision revision = 5) {
  table.onRead(now, now, {{kOther, lease_row{revision}}});
  return table.expired(lease);
}

lease_table tableWithOther() {
  lease_table table(kOwn, {}, kStart);
  table.onStoreRegained(kStart);
  table.onRow(kStart, kOther, 5);
  return table;
}

}  // namespace

Test(lease_table, a_lease_expires_without_renewal) {
  lease_table table = tableWithOther();
  cr_assert_not(expiredAfterRead(table, kStart + std::chrono::milliseconds(1400), kOther));
  cr_assert(expiredAfterRead(table, kStart + std::chrono::milliseconds(1600), kOther));
  table.onRow(kStart + std::chrono::milliseconds(1600), kOther, 6);
  cr_assert_not(expiredAfterRead(table, kStart + std::chrono::milliseconds(2000), kOther, 6));
}

Test(lease_table, an_unchanged_revision_is_no_renewal) {
  lease_table table = tableWithOther();
  table.onRow(kStart + std::chrono::seconds(1), kOther, 5);
  cr_assert(expiredAfterRead(table, kStart + std::chrono::milliseconds(1600), kOther));
}

Test(lease_table, time_after_the_last_read_does_not_count) {
  lease_table table = tableWithOther();
  table.onRead(kStart + std::chrono::seconds(1), kStart + std::chrono::seconds(1),
               {{kOther, lease_row{5}}});
  cr_assert_not(table.expired(kOther), "no later read");
  cr_assert(expiredAfterRead(table, kStart + std::chrono::seconds(2), kOther));
}

Test(lease_table, an_owner_that_missed_a_renewal_is_suspect_until_taken_over) {
  lease_table table = tableWithOther();
  cr_assert_not(table.anySuspect(kStart + std::chrono::milliseconds(500)));
  cr_assert(table.anySuspect(kStart + std::chrono::milliseconds(900)));
  cr_assert_not(table.anySuspect(kStart + std::chrono::seconds(5)), "taken over by then");
}

Test(lease_table, rows_of_previous_incarnations_and_old_rows_are_removable) {
  lease_table table = tableWithOther();
  const LeaseId earlier = makeLeaseId("d1", "a");
  table.onRead(kStart, kStart,
               {{kOther, lease_row{5}}, {earlier, lease_row{3}}, {kOwn, lease_row{9}}});
  cr_assert_eq(table.removable(kStart + std::chrono::seconds(1)).size(), 1U);
  cr_assert_eq(table.removable(kStart + std::chrono::seconds(1)).front(), earlier);
  cr_assert_eq(table.removable(kStart + std::chrono::seconds(61)).size(), 2U);
}

Test(lease_table, leases_do_not_expire_during_or_right_after_a_store_outage) {
  lease_table table = tableWithOther();
  table.onStoreLost();
  cr_assert_not(expiredAfterRead(table, kStart + std::chrono::seconds(60), kOther));
  table.onStoreRegained(kStart + std::chrono::seconds(60));
  cr_assert_not(expiredAfterRead(table, kStart + std::chrono::milliseconds(61400), kOther));
  cr_assert(expiredAfterRead(table, kStart + std::chrono::milliseconds(61600), kOther));
}

Test(lease_table, a_previous_incarnation_is_expired_at_once) {
  lease_table table = tableWithOther();
  cr_assert(expiredAfterRead(table, kStart, makeLeaseId("d1", "a")));
  cr_assert_not(expiredAfterRead(table, kStart + std::chrono::seconds(60), kOwn));
}

Test(lease_table, a_lease_without_a_row_expires_after_the_expiry) {
  lease_table table = tableWithOther();
  const LeaseId unseen = makeLeaseId("d3", "x");
  cr_assert_not(expiredAfterRead(table, kStart, unseen));
  cr_assert(expiredAfterRead(table, kStart + std::chrono::milliseconds(1600), unseen));
}

Test(lease_table, recently_started_daemons_take_over_first) {
  const lease_table older(kOwn, {}, kStart);
  const lease_table newer(makeLeaseId("d4", "a"), {}, kStart + std::chrono::seconds(50));
  const Instant now = kStart + std::chrono::seconds(55);
  cr_assert(newer.takeoverDelay(now, "job") < older.takeoverDelay(now, "job"));
}

Test(lease_table, validity_fits_two_renewals_and_is_shorter_than_the_expiry) {
  const lease::lease_times times;
  cr_assert(times.renewal_interval * 2 <= times.validity);
  cr_assert(times.validity < times.expiry);
}

namespace {

constexpr Duration kFast = std::chrono::milliseconds(5);
constexpr Duration kSlow = std::chrono::milliseconds(300);
constexpr Instant kHealthySince{std::chrono::seconds(100)};
const LeaseId kOwner("other#1");

lease::lease_table tableOfHealthyStore() {
  lease::lease_table table(LeaseId("own#1"), {}, kHealthySince);
  table.onStoreRegained(kHealthySince);
  return table;
}

/// Reads the owner's row, unchanged, at `sent`.
void readUnchanged(lease::lease_table& table, Instant sent, Duration delay) {
  table.onRead(sent, sent + delay, {{kOwner, lease_row{1}}});
}

}  // namespace

Test(lease_table, an_unchanged_row_expires_with_a_fast_store) {
  lease::lease_table table = tableOfHealthyStore();
  readUnchanged(table, kHealthySince, kFast);
  readUnchanged(table, kHealthySince + std::chrono::milliseconds(1400), kFast);
  cr_assert_not(table.expired(kOwner));
  readUnchanged(table, kHealthySince + std::chrono::milliseconds(1600), kFast);
  cr_assert(table.expired(kOwner));
}

Test(lease_table, a_slow_store_extends_the_expiry_up_to_a_limit) {
  lease::lease_table table = tableOfHealthyStore();
  readUnchanged(table, kHealthySince, kSlow);
  readUnchanged(table, kHealthySince + std::chrono::milliseconds(2500), kSlow);
  cr_assert_not(table.expired(kOwner), "its renewals are delayed, too");
  readUnchanged(table, kHealthySince + std::chrono::milliseconds(4000), kSlow);
  cr_assert(table.expired(kOwner), "the allowance is limited");
}

Test(lease_table, the_allowance_shrinks_when_the_store_is_fast_again) {
  lease::lease_table table = tableOfHealthyStore();
  readUnchanged(table, kHealthySince, kSlow);
  cr_assert(table.allowance() > std::chrono::seconds(1));
  for (int i = 1; i <= 5; ++i) {
    readUnchanged(table, kHealthySince + i * std::chrono::seconds(1), kFast);
  }
  cr_assert(table.allowance() < std::chrono::milliseconds(100));
  cr_assert(table.expired(kOwner));
}

Test(lease_table, the_own_lease_never_expires_but_previous_and_empty_ones_always_are_expired) {
  lease::lease_table table = tableOfHealthyStore();
  cr_assert_not(table.expired(LeaseId("own#1")));
  cr_assert(table.expired(LeaseId("own#0")));
  cr_assert(table.expired(LeaseId("")));
}

Test(lease_table, daemons_alive_at_the_last_read_stay_alive_during_a_store_outage) {
  lease_table table = tableWithOther();
  table.onRead(kStart, kStart, {{kOther, lease_row{6, 0.5}}});
  const Instant later = kStart + std::chrono::seconds(5);
  cr_assert_not(table.alive(later, kOther), "the store responds, but the lease was not renewed");
  table.onStoreLost();
  cr_assert(table.alive(later, kOther));
  cr_assert_eq(table.candidates(later).size(), 1U);
}

Test(lease_table, peer_addresses_round_trip_and_exclude_the_own_one) {
  const Address peer{0x0a010004, 8166};
  const std::string value = encodeLeaseRow({.capacity = 0.25, .peer = peer});
  cr_assert_float_eq(decodeLeaseRow(6, value).capacity, 0.25, 1e-6);
  cr_assert(decodeLeaseRow(6, value).peer == peer);
  cr_assert_not(decodeLeaseRow(6, encodeLeaseRow({.capacity = 0.25})).peer.has_value());
  cr_assert_not(decodeLeaseRow(6, "0.25|nowhere").peer.has_value());
  lease_table table(kOwn, {}, kStart);
  table.onRead(kStart, kStart,
               {{kOther, lease_row{6, 0.5, peer}}, {kOwn, lease_row{5, 0.5, peer}}});
  cr_assert_eq(table.peers().size(), 1U);
}
