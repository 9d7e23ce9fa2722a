/// @file
/// The clock that goes on while the machine is suspended.

#include <ctime>

#include "common/time.h"
#include "support/suspendable_clock.h"

// Criterion's macros clash with Boost's headers that come after it.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

using namespace linenpier;

Test(machine_clock, it_is_the_one_that_counts_suspensions) {
  timespec boot{};
  clock_gettime(CLOCK_BOOTTIME, &boot);
  const auto since_start =
      std::chrono::seconds(boot.tv_sec) + std::chrono::nanoseconds(boot.tv_nsec);
  const auto off = machine_clock::now().time_since_epoch() - since_start;
  cr_assert(off >= -std::chrono::milliseconds(1) && off < std::chrono::milliseconds(500));
}

Test(machine_clock, what_a_test_suspends_is_counted_and_told) {
  test::suspendable_clock clock;
  const Instant before = steadyNow();
  clock.suspend(std::chrono::seconds(5));
  const Duration passed = steadyNow() - before;
  cr_assert(passed >= std::chrono::seconds(5) && passed < std::chrono::milliseconds(5500));
  cr_assert(machine_clock::suspended() == std::chrono::seconds(5));
}
