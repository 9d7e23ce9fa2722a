#include "gateway/lease/store_delay.h"

#include <criterion/criterion.h>

#include "gateway/lease/owner_pool.h"

using namespace linenpier;
using lease::lease_table;
using lease::owner_pool;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};
constexpr lease::machine_limits kMachine{0.5, 600};

Duration delayAfterReadsOf(Duration answer) {
  lease_table table(lease::makeLeaseId("own", "a"), {}, kStart);
  table.onStoreRegained(kStart);
  table.onRead(kStart, kStart + answer, {});
  return lease::excessStoreDelay(table.allowance(), table.times());
}

double capacityAt(Duration answer) {
  const lease_table table(lease::makeLeaseId("own", "a"), {}, kStart);
  owner_pool pool(table, kMachine);
  for (int i = 0; i < 50; ++i) pool.onTimerLateness(delayAfterReadsOf(answer));
  return pool.capacity();
}

}  // namespace

Test(store_delay, a_tolerated_delay_keeps_the_capacity) {
  cr_assert(delayAfterReadsOf(std::chrono::milliseconds(8)) == Duration::zero());
  cr_assert_eq(capacityAt(std::chrono::milliseconds(8)), 0.5);
}

Test(store_delay, a_distant_store_halves_the_capacity) {
  const double far = capacityAt(std::chrono::milliseconds(46));
  cr_assert(far > 0.2 && far < 0.3, "%f", far);
  const lease::owner_candidate near_one{lease::makeLeaseId("n", "1"), 0.4};
  const lease::owner_candidate far_one{lease::makeLeaseId("f", "1"), far};
  cr_assert(lease::ranksHigher(near_one, far_one));
}

Test(store_delay, the_delay_of_a_slow_store_is_limited) {
  const Duration slow = delayAfterReadsOf(std::chrono::milliseconds(400));
  cr_assert(slow == lease::kMaxExcessStoreDelay);
  cr_assert(slow == delayAfterReadsOf(std::chrono::milliseconds(440)));
}
