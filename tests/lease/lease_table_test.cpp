#include "lease/lease_table.h"

#include <criterion/criterion.h>

using namespace linenpier;
using lease::LeaseId;
using lease::LeaseTable;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};
constexpr Duration kQuick = std::chrono::milliseconds(5);
constexpr Duration kSlow = std::chrono::milliseconds(300);
const LeaseId kOther("other#1");

LeaseTable healthyTable() {
  LeaseTable table(LeaseId("own#1"), {}, kStart);
  table.onStoreRegained(kStart);
  return table;
}

/// Reads the other's row, unchanged, at `sent`.
void readAt(LeaseTable& table, Instant sent, Duration delay) {
  table.onRead(sent, sent + delay, {{kOther, 1}});
}

}  // namespace

Test(lease_table, an_owner_whose_row_stays_as_it_is_is_gone_after_the_expiry) {
  LeaseTable table = healthyTable();
  readAt(table, kStart, kQuick);
  readAt(table, kStart + std::chrono::milliseconds(1400), kQuick);
  cr_assert_not(table.expired(kOther));
  readAt(table, kStart + std::chrono::milliseconds(1600), kQuick);
  cr_assert(table.expired(kOther));
}

Test(lease_table, a_store_that_answers_late_explains_more_silence) {
  LeaseTable table = healthyTable();
  readAt(table, kStart, kSlow);
  readAt(table, kStart + std::chrono::milliseconds(2500), kSlow);
  cr_assert_not(table.expired(kOther), "its renewals wait in the same store");
  readAt(table, kStart + std::chrono::milliseconds(4000), kSlow);
  cr_assert(table.expired(kOther), "but not for ever");
}

Test(lease_table, a_store_that_is_quick_again_explains_little) {
  LeaseTable table = healthyTable();
  readAt(table, kStart, kSlow);
  cr_assert(table.allowance() > std::chrono::seconds(1));
  for (int i = 1; i <= 5; ++i) readAt(table, kStart + i * std::chrono::seconds(1), kQuick);
  cr_assert(table.allowance() < std::chrono::milliseconds(100));
  cr_assert(table.expired(kOther));
}

Test(lease_table, this_life_never_expires_and_an_earlier_one_always_has) {
  LeaseTable table = healthyTable();
  cr_assert_not(table.expired(LeaseId("own#1")));
  cr_assert(table.expired(LeaseId("own#0")));
  cr_assert(table.expired(LeaseId("")));
}
