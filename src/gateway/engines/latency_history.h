#pragma once

/** @file
 * Long-term latency of an engine relative to its service. At the end of each measurement window,
 * the mean event time of the engine is divided by the median of its service. The lowest of these
 * ratios over the last windows is the baseline: it reflects the speed of the hardware, as temporary
 * slowness raises only some of the ratios. Does no I/O.
 */

#include <cstddef>
#include <vector>

#include "common/time.h"

namespace linenpier::engines {

class latency_history {
 public:
  /** @param seconds time between two events of a stream, or time of a response without a stream.
   * @return whether the current window is complete and `closeWindow` must be called.
   */
  bool onEventTime(Instant now, double seconds);
  /** @param median_event_time median event time over the service's engines in seconds; 0: unknown.
   */
  void closeWindow(double median_event_time);
  /** @return the lowest ratio of event time to median; 1 without a complete window, without a
   *     recent measurement, or if the ratio is too high to be due to the hardware.
   */
  double baselineRatio(Instant now) const;

 private:
  double event_time_sum_ = 0;    ///< Sum of the event times in the current window, in seconds.
  std::size_t event_count_ = 0;  ///< Number of event times in the current window.
  Instant window_start_{};
  Instant measured_at_{};
  std::vector<double> window_ratios_;  ///< Ratios of the last windows, oldest first.
};

}  // namespace linenpier::engines
