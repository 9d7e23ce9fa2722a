#pragma once

/** @file
 * How slow an engine is by its make, as against what slows it for a while: its pace over the median
 * of its service, as the best of what was observed lately. Pure.
 */

#include <cstddef>
#include <vector>

#include "common/time.h"

namespace linenpier::engines {

class latency_history {
 public:
  /** A unit of work took `seconds`.
   * @return whether enough was observed to be compared: `close` must be called.
   */
  bool onEventTime(Instant now, double seconds);
  /** @param median_pace of the service's engines, in seconds; 0: none is known. */
  void close(double median_event_time);
  /** @return pace over the median; 1 as long as little was observed, or nothing lately. An engine
   *     that is slow by make was slow in every span; one that was so in some was slowed by
   * something that passed.
   */
  double value(Instant now) const;

 private:
  double seconds_ = 0;  ///< Of the span that is open.
  std::size_t units_ = 0;
  Instant opened_at_{};
  Instant observed_at_{};
  std::vector<double> spans_;  ///< Pace over the median, oldest first; few.
};

}  // namespace linenpier::engines
