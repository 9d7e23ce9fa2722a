#pragma once

/** @file
 * Estimates how many more events an item will generate, from its length hint and the items finished
 * so far. Pure.
 */

#include <cstdint>

namespace linenpier::batch {

class length_estimator {
 public:
  /** Adds a finished item to the statistics.
   * @param hint expected number of generated tokens; 0: unknown.
   */
  void onFinished(std::uint64_t hint, std::uint64_t events);

  /** @return the expected number of further events, at least half of those generated so far; 0 if
   *     nothing is known.
   */
  double remainingEvents(std::uint64_t hint, std::uint64_t events) const;

 private:
  double hinted_tokens_ = 0;
  double events_made_ = 0;
};

}  // namespace linenpier::batch
