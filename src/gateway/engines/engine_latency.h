#pragma once

/** @file
 * Event time of one engine: the time between two events of a stream, or the time of a response
 * without a stream. Keeps a moving average of recent event times, and the long-term latency in
 * `latency_history`. Does no I/O.
 */

#include "common/time.h"
#include "gateway/engines/latency_history.h"

namespace linenpier::engines {

struct latency_options {
  /** How long a measured event time is valid. Afterwards the long-term ratio from `latency_history`
   * applies, so that a slow engine is tried again. An engine measured within this time counts as
   * recently used.
   */
  Duration event_time_lifetime = std::chrono::seconds(4);
  double event_time_weight = 0.1;  ///< Weight of a new sample in the moving average.
};

class engine_latency {
 public:
  /** @param duration time between two events of a stream, or time of a response without a stream.
   * @return whether a window of the history is complete and `closeHistoryWindow` must be called.
   */
  bool onEventTime(Instant now, Duration duration, const latency_options& options);
  /** @param median_event_time median event time over the service's engines in seconds; 0: unknown.
   */
  void closeHistoryWindow(double median_event_time) {
    this->history_.closeWindow(median_event_time);
  }

  /** @return whether the measured event time is still valid. Connections to the engine stay open
   * for about as long.
   */
  bool isRecent(Instant now, const latency_options& options) const {
    return this->event_time_ > 0 && now - this->measured_at_ < options.event_time_lifetime;
  }
  /** @return the moving average of event times in seconds; 0 if the average is no longer valid. */
  double eventTime(Instant now, const latency_options& options) const {
    return this->isRecent(now, options) ? this->event_time_ : 0;
  }
  /** @return the event time of the engine relative to the median of its service; the long-term
   * ratio from `latency_history` if the event time or the median is unknown; 1 without any
   * measurement.
   */
  double ratio(Instant now, double median_event_time, const latency_options& options) const;

 private:
  double event_time_ = 0;  ///< Moving average of event times in seconds; 0: never measured.
  Instant measured_at_{};
  latency_history history_;
};

}  // namespace linenpier::engines
