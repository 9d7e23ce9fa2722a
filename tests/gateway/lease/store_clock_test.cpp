#include "gateway/lease/store_clock.h"

#include <criterion/criterion.h>

using namespace linenpier;
using lease::store_clock;

namespace {
constexpr Instant kStart{std::chrono::seconds(100)};
}  // namespace

Test(store_clock, the_clock_is_zero_before_the_first_response) {
  const store_clock clock;
  cr_assert_eq(clock.at(kStart), 0);
}

Test(store_clock, the_response_with_the_least_delay_counts) {
  store_clock clock;
  clock.onAnswer(kStart, 7000);
  clock.onAnswer(kStart + std::chrono::seconds(1), 7900);
  cr_assert_eq(clock.at(kStart + std::chrono::seconds(2)), 9000,
               "the second response was delayed by 100 ms");
  clock.onAnswer(kStart + std::chrono::seconds(2), 9030);
  cr_assert_eq(clock.at(kStart + std::chrono::seconds(3)), 10030,
               "the first response was delayed, too");
}

Test(store_clock, drift_is_corrected) {
  store_clock clock;
  clock.onAnswer(kStart, 7000);
  clock.onAnswer(kStart + std::chrono::seconds(100), 106990);
  cr_assert_eq(clock.at(kStart + std::chrono::seconds(100)), 106990);
}

Test(store_clock, a_restarted_clock_is_adopted) {
  store_clock clock;
  clock.onAnswer(kStart, 70000);
  clock.onAnswer(kStart + std::chrono::seconds(1), 20);
  cr_assert_eq(clock.at(kStart + std::chrono::seconds(1)), 20);
}
