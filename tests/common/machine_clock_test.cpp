/// @file
/// Tests of the clock that includes the time in which the machine is suspended.

#include <ctime>

#include "common/time.h"
#include "support/suspendable_clock.h"

// Criterion's macros clash with Boost's headers that come after it.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

using namespace linenpier;

Test(machine_clock, it_includes_suspensions) {
  timespec boot{};
  clock_gettime(CLOCK_BOOTTIME, &boot);
  const auto since_start =
      std::chrono::seconds(boot.tv_sec) + std::chrono::nanoseconds(boot.tv_nsec);
  const auto difference = machine_clock::now().time_since_epoch() - since_start;
  cr_assert(difference >= -std::chrono::milliseconds(1) &&
            difference < std::chrono::milliseconds(500));
}

Test(machine_clock, simulated_suspensions_are_included_and_reported) {
  test::suspendable_clock clock;
  const Instant before = steadyNow();
  clock.suspend(std::chrono::seconds(5));
  const Duration elapsed = steadyNow() - before;
  cr_assert(elapsed >= std::chrono::seconds(5) && elapsed < std::chrono::milliseconds(5500));
  cr_assert(machine_clock::suspended() == std::chrono::seconds(5));
}
