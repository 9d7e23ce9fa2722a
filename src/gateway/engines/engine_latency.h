#pragma once

/** @file
 * How long one engine takes for an event or an answer: lately (the smoothed event time), and over
 * minutes (`latency_history`). Pure; owned by the engine's `engine_state`.
 */

#include "common/time.h"
#include "gateway/engines/latency_history.h"

namespace linenpier::engines {

struct latency_options {
  /** Until a measured event time is forgotten, so that an engine that was slow is tried again at
   * the ratio of its history. An engine measured within this time counts as recently used.
   */
  Duration event_time_lifetime = std::chrono::seconds(4);
  double event_time_weight = 0.1;  ///< Of the newest measurement in the smoothed event time.
};

class engine_latency {
 public:
  /** An event or an answer took `duration`.
   * @return whether a span of the history is complete: `closeHistoryWindow` must be called.
   */
  bool onEventTime(Instant now, Duration duration, const latency_options& options);
  /** @param median_event_time of the service's engines, in seconds; 0: none is known. */
  void closeHistoryWindow(double median_event_time) {
    this->history_.closeWindow(median_event_time);
  }

  /** @return whether an event time was measured lately. The daemon keeps its connections to the
   *     engine for about as long.
   */
  bool isRecent(Instant now, const latency_options& options) const {
    return this->event_time_ > 0 && now - this->measured_at_ < options.event_time_lifetime;
  }
  /** @return the smoothed event time in seconds; 0 if none was measured lately. */
  double eventTime(Instant now, const latency_options& options) const {
    return this->isRecent(now, options) ? this->event_time_ : 0;
  }
  /** @return the event time over the median; the ratio of the history if either is unknown; 1 if
   *     nothing is known.
   */
  double ratio(Instant now, double median_event_time, const latency_options& options) const;

 private:
  double event_time_ = 0;  ///< Smoothed, in seconds; 0: never measured.
  Instant measured_at_{};
  latency_history history_;
};

}  // namespace linenpier::engines
