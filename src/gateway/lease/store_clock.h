#pragma once

/** @file
 * Estimates the store's steady clock. Does no I/O.
 */

#include <cstdint>

#include "common/time.h"

namespace linenpier::lease {

/** Tracks the clock that the store reports in its responses.
 *
 * A reported time is already outdated by the response's network delay when it arrives. The estimate
 * is therefore based on the response that arrived with the least delay, which is the one that gives
 * the highest estimate. Invariant: the estimate decreases only by the possible drift between the
 * store's clock and this daemon's, or when the store's clock restarted.
 */
class store_clock {
 public:
  /** Handles a clock value, in ms, from a response received at `now`. */
  void onAnswer(Instant now, std::int64_t clock_ms);
  /** @return the store's clock at `at` in ms; 0 before the first response. */
  std::int64_t at(Instant at) const;

 private:
  std::int64_t clock_ms_ = 0;  ///< Clock value of the most accurate response.
  Instant read_at_{};          ///< When the most accurate response arrived.
};

}  // namespace linenpier::lease
