#pragma once

/** @file
 * How slow an engine is for good, by its hardware class, as against what slows it for a while: the
 * least ratio of its event time to the median of its service over the last spans. Pure.
 */

#include <cstddef>
#include <vector>

#include "common/time.h"

namespace linenpier::engines {

class latency_history {
 public:
  /** An event or an answer took `seconds`.
   * @return whether the span is complete: `close` must be called.
   */
  bool onEventTime(Instant now, double seconds);
  /** Ends the span. @param median_event_time of the service's engines, in seconds; 0: none is
   * known.
   */
  void closeWindow(double median_event_time);
  /** @return the least ratio of event time to median: an engine that is slow by its hardware was
   *     slow in every span. 1 as long as no span is complete, or if nothing was measured lately.
   */
  double baselineRatio(Instant now) const;

 private:
  double event_time_sum_ = 0;    ///< Sum over the open span.
  std::size_t event_count_ = 0;  ///< In the open span.
  Instant window_start_{};
  Instant measured_at_{};
  std::vector<double> window_ratios_;  ///< Ratios to the median, oldest first.
};

}  // namespace linenpier::engines
