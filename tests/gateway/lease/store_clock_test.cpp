/** @file
 * The store's clock, as its answers show it.
 */

#include "gateway/lease/store_clock.h"

#include <criterion/criterion.h>

using namespace linenpier;
using lease::store_clock;

namespace {
constexpr Instant kStart{std::chrono::seconds(100)};
}  // namespace

Test(store_clock, nothing_is_known_before_the_first_answer) {
  const store_clock clock;
  cr_assert_eq(clock.at(kStart), 0);
}

Test(store_clock, the_quickest_answer_counts) {
  store_clock clock;
  clock.onAnswer(kStart, 7000);
  clock.onAnswer(kStart + std::chrono::seconds(1), 7900);
  cr_assert_eq(clock.at(kStart + std::chrono::seconds(2)), 9000, "the second was 100 ms late");
  clock.onAnswer(kStart + std::chrono::seconds(2), 9030);
  cr_assert_eq(clock.at(kStart + std::chrono::seconds(3)), 10030, "the first was late, too");
}

Test(store_clock, slow_drift_is_followed) {
  store_clock clock;
  clock.onAnswer(kStart, 7000);
  clock.onAnswer(kStart + std::chrono::seconds(100), 106990);
  cr_assert_eq(clock.at(kStart + std::chrono::seconds(100)), 106990);
}

Test(store_clock, a_clock_that_began_anew_is_followed) {
  store_clock clock;
  clock.onAnswer(kStart, 70000);
  clock.onAnswer(kStart + std::chrono::seconds(1), 20);
  cr_assert_eq(clock.at(kStart + std::chrono::seconds(1)), 20);
}
