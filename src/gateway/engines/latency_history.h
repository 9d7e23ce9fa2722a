#pragma once

/** @file
 * Long-term latency of an engine, as determined by its hardware: the minimum, over the last
 * windows, of the ratio of its event time to the median of its service. Ignores temporary slowness.
 * Does no I/O.
 */

#include <cstddef>
#include <vector>

#include "common/time.h"

namespace linenpier::engines {

class latency_history {
 public:
  /** Records the time that an event or a response took.
   * @return whether the window is complete and `closeWindow` must be called.
   */
  bool onEventTime(Instant now, double seconds);
  /** @param median_event_time median over the service's engines in seconds; 0: unknown. */
  void closeWindow(double median_event_time);
  /** @return the minimum ratio of event time to median; 1 without a complete window or without a
   *     recent measurement.
   */
  double baselineRatio(Instant now) const;

 private:
  double event_time_sum_ = 0;    ///< Over the current window.
  std::size_t event_count_ = 0;  ///< In the current window.
  Instant window_start_{};
  Instant measured_at_{};
  std::vector<double> window_ratios_;  ///< Oldest first.
};

}  // namespace linenpier::engines
