#pragma once

/** @file
 * Estimate of the store's steady clock. Pure.
 */

#include <cstdint>

#include "common/time.h"

namespace linenpier::lease {

/** Follows the clock that the store states with its answers.
 *
 * An answer shows the store's clock late by the time that it was under way, so that the answer
 * which shows the clock furthest ahead is nearest to it. Invariant: the estimate goes back only by
 * as much as the two clocks may have drifted apart, or when the store's clock began anew.
 */
class store_clock {
 public:
  /** An answer that came at `now` showed the clock, in ms. */
  void onAnswer(Instant now, std::int64_t clock_ms);
  /** @return the store's clock at `at` in ms; 0 before the first answer. */
  std::int64_t at(Instant at) const;

 private:
  std::int64_t clock_ms_ = 0;  ///< As the best answer showed it.
  Instant read_at_{};          ///< When that answer came.
};

}  // namespace linenpier::lease
