#pragma once

/** @file
 * Timeouts of a run, after which the item is sent to another engine. Restarting a run costs only a
 * request and a few milliseconds of processing its prompt and text again, whereas a stalled one
 * delays the whole step. Pure.
 */

#include <algorithm>

#include "common/time.h"

namespace linenpier::batch {

struct run_timeouts {
  /// Timeout for the first event of a run. An engine with free slots sends it after about 20 ms
  /// plus its time per event, so that the timeout is several times the usual delay.
  Duration first_event = std::chrono::milliseconds(600);
  /// Maximum timeout for the first event. The timeout is doubled each time it expires: if all
  /// engines are full, a run that is sent elsewhere loses its place in the queue.
  Duration max_first_event = std::chrono::milliseconds(2500);
  /// Minimum timeout between two events of a run.
  Duration min_gap = std::chrono::milliseconds(450);
  /// Maximum timeout between two events of a run.
  Duration max_gap = std::chrono::milliseconds(1200);
  /// Timeout between two events, as a multiple of the engine's time per event.
  double gap_event_times = 5;

  bool operator==(const run_timeouts&) const = default;

  /** @param first_event_timeouts consecutive runs of the item that were stopped without an event.
   */
  Duration forFirstEvent(int first_event_timeouts) const {
    Duration limit = this->first_event;
    for (int i = 0; i < first_event_timeouts && limit < this->max_first_event; ++i) limit *= 2;
    return std::min(limit, this->max_first_event);
  }

  /** @param event_time the engine's time per event, in seconds; 0: unknown. */
  Duration forGap(double event_time) const {
    if (event_time <= 0) return this->max_gap;
    return std::clamp(fromSeconds(this->gap_event_times * event_time), this->min_gap,
                      this->max_gap);
  }
};

}  // namespace linenpier::batch
