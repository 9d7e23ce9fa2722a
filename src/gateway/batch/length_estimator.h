#pragma once

/** @file
 * How many more events an item is expected to make, learnt from hints and from the items that have
 * finished. Pure.
 */

#include <cstdint>

namespace linenpier::batch {

class length_estimator {
 public:
  /** An item made all of its events.
   * @param hint expected tokens out; 0: not known.
   */
  void onFinished(std::uint64_t hint, std::uint64_t events);

  /** @return events that are expected to follow; an item that has outlived its hint is expected to
   *     go on for half as long again. 0 if nothing is known of it.
   */
  double remainingEvents(std::uint64_t hint, std::uint64_t events) const;

 private:
  double hinted_tokens_ = 0;
  double events_made_ = 0;
};

}  // namespace linenpier::batch
