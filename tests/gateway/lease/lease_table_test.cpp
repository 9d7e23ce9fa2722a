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

/// Reads the store, where `revision` stands for the lease of `kOther`, and asks for `lease`.
bool expiredAfterRead(lease_table& table, Instant now, const LeaseId& lease,
                      Revision revision = 5) {
  table.onRead(now, now, {{kOther, lease_row{revision}}});
  return table.expired(lease);
}

lease_table watching() {
  lease_table table(kOwn, {}, kStart);
  table.onStoreRegained(kStart);
  table.onRow(kStart, kOther, 5);
  return table;
}

}  // namespace

Test(lease_table, silence_longer_than_the_expiry_ends_a_lease) {
  lease_table table = watching();
  cr_assert_not(expiredAfterRead(table, kStart + std::chrono::milliseconds(1400), kOther));
  cr_assert(expiredAfterRead(table, kStart + std::chrono::milliseconds(1600), kOther));
  table.onRow(kStart + std::chrono::milliseconds(1600), kOther, 6);
  cr_assert_not(expiredAfterRead(table, kStart + std::chrono::milliseconds(2000), kOther, 6));
}

Test(lease_table, the_same_revision_again_is_no_renewal) {
  lease_table table = watching();
  table.onRow(kStart + std::chrono::seconds(1), kOther, 5);
  cr_assert(expiredAfterRead(table, kStart + std::chrono::milliseconds(1600), kOther));
}

Test(lease_table, silence_counts_up_to_the_last_read_only) {
  lease_table table = watching();
  table.onRead(kStart + std::chrono::seconds(1), kStart + std::chrono::seconds(1),
               {{kOther, lease_row{5}}});
  cr_assert_not(table.expired(kOther), "nothing was read since");
  cr_assert(expiredAfterRead(table, kStart + std::chrono::seconds(2), kOther));
}

Test(lease_table, an_owner_that_misses_renewals_is_suspected_for_a_while) {
  lease_table table = watching();
  cr_assert_not(table.anySuspect(kStart + std::chrono::milliseconds(500)));
  cr_assert(table.anySuspect(kStart + std::chrono::milliseconds(900)));
  cr_assert_not(table.anySuspect(kStart + std::chrono::seconds(5)), "others have taken over");
}

Test(lease_table, rows_of_earlier_lives_and_of_long_silence_may_be_removed) {
  lease_table table = watching();
  const LeaseId earlier = makeLeaseId("d1", "a");
  table.onRead(kStart, kStart,
               {{kOther, lease_row{5}}, {earlier, lease_row{3}}, {kOwn, lease_row{9}}});
  cr_assert_eq(table.removable(kStart + std::chrono::seconds(1)).size(), 1U);
  cr_assert_eq(table.removable(kStart + std::chrono::seconds(1)).front(), earlier);
  cr_assert_eq(table.removable(kStart + std::chrono::seconds(61)).size(), 2U);
}

Test(lease_table, nothing_expires_while_the_feed_is_away_or_just_after) {
  lease_table table = watching();
  table.onStoreLost();
  cr_assert_not(expiredAfterRead(table, kStart + std::chrono::seconds(60), kOther));
  table.onStoreRegained(kStart + std::chrono::seconds(60));
  cr_assert_not(expiredAfterRead(table, kStart + std::chrono::milliseconds(61400), kOther));
  cr_assert(expiredAfterRead(table, kStart + std::chrono::milliseconds(61600), kOther));
}

Test(lease_table, an_earlier_life_of_this_daemon_has_ended_for_sure) {
  lease_table table = watching();
  cr_assert(expiredAfterRead(table, kStart, makeLeaseId("d1", "a")));
  cr_assert_not(expiredAfterRead(table, kStart + std::chrono::seconds(60), kOwn));
}

Test(lease_table, an_owner_whose_row_was_never_seen_gets_its_time) {
  lease_table table = watching();
  const LeaseId unseen = makeLeaseId("d3", "x");
  cr_assert_not(expiredAfterRead(table, kStart, unseen));
  cr_assert(expiredAfterRead(table, kStart + std::chrono::milliseconds(1600), unseen));
}

Test(lease_table, daemons_that_started_last_take_over_first) {
  const lease_table old(kOwn, {}, kStart);
  const lease_table young(makeLeaseId("d4", "a"), {}, kStart + std::chrono::seconds(50));
  const Instant now = kStart + std::chrono::seconds(55);
  cr_assert(young.takeoverDelay(now, "job") < old.takeoverDelay(now, "job"));
}

Test(lease_table, an_owner_stops_before_others_may_start) {
  const lease::lease_times times;
  cr_assert(times.renewal_interval * 2 <= times.validity);
  cr_assert(times.validity < times.expiry);
}

namespace {

constexpr Duration kQuick = std::chrono::milliseconds(5);
constexpr Duration kSlow = std::chrono::milliseconds(300);
constexpr Instant kHealthySince{std::chrono::seconds(100)};
const LeaseId kSlowOwner("other#1");

lease::lease_table tableOfHealthyStore() {
  lease::lease_table table(LeaseId("own#1"), {}, kHealthySince);
  table.onStoreRegained(kHealthySince);
  return table;
}

/// Reads the owner's row, unchanged, at `sent`.
void readUnchanged(lease::lease_table& table, Instant sent, Duration delay) {
  table.onRead(sent, sent + delay, {{kSlowOwner, lease_row{1}}});
}

}  // namespace

Test(lease_table, an_owner_whose_row_stays_as_it_is_is_gone_after_the_expiry) {
  lease::lease_table table = tableOfHealthyStore();
  readUnchanged(table, kHealthySince, kQuick);
  readUnchanged(table, kHealthySince + std::chrono::milliseconds(1400), kQuick);
  cr_assert_not(table.expired(kSlowOwner));
  readUnchanged(table, kHealthySince + std::chrono::milliseconds(1600), kQuick);
  cr_assert(table.expired(kSlowOwner));
}

Test(lease_table, a_store_that_answers_late_explains_more_silence) {
  lease::lease_table table = tableOfHealthyStore();
  readUnchanged(table, kHealthySince, kSlow);
  readUnchanged(table, kHealthySince + std::chrono::milliseconds(2500), kSlow);
  cr_assert_not(table.expired(kSlowOwner), "its renewals wait in the same store");
  readUnchanged(table, kHealthySince + std::chrono::milliseconds(4000), kSlow);
  cr_assert(table.expired(kSlowOwner), "but not for ever");
}

Test(lease_table, a_store_that_is_quick_again_explains_little) {
  lease::lease_table table = tableOfHealthyStore();
  readUnchanged(table, kHealthySince, kSlow);
  cr_assert(table.allowance() > std::chrono::seconds(1));
  for (int i = 1; i <= 5; ++i) {
    readUnchanged(table, kHealthySince + i * std::chrono::seconds(1), kQuick);
  }
  cr_assert(table.allowance() < std::chrono::milliseconds(100));
  cr_assert(table.expired(kSlowOwner));
}

Test(lease_table, this_life_never_expires_and_an_earlier_one_always_has) {
  lease::lease_table table = tableOfHealthyStore();
  cr_assert_not(table.expired(LeaseId("own#1")));
  cr_assert(table.expired(LeaseId("own#0")));
  cr_assert(table.expired(LeaseId("")));
}

Test(lease_table, while_the_store_is_away_those_count_as_alive_who_were_when_it_was_last_read) {
  lease_table table = watching();
  table.onRead(kStart, kStart, {{kOther, lease_row{6, 0.5}}});
  const Instant later = kStart + std::chrono::seconds(5);
  cr_assert_not(table.alive(later, kOther), "the store answers, and nothing was renewed");
  table.onStoreLost();
  cr_assert(table.alive(later, kOther));
  cr_assert_eq(table.candidates(later).size(), 1U);
}

Test(lease_table, a_lease_tells_where_its_daemon_may_be_asked) {
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
