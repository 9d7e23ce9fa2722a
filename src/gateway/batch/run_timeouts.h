#pragma once

/** @file
 * How long the owner of an item waits for an engine before it goes on elsewhere. A run that is
 * stopped costs a request and a few milliseconds of reading its prompt and text again; one that
 * stands still holds back the whole step. Pure.
 */

#include <algorithm>

#include "common/time.h"

namespace linenpier::batch {

struct run_timeouts {
  /// For a run's first event. An engine with room answers within some 20 ms and the time of an
  /// event, so that this is several times what is usual.
  Duration first_event = std::chrono::milliseconds(600);
  /// For the first event of an item that was stopped before: then all engines are full, and a run
  /// that leaves a queue loses its place there.
  Duration max_first_event = std::chrono::milliseconds(2500);
  /// Between two events, at the least: half of what an engine stands still to change its weights.
  Duration min_gap = std::chrono::milliseconds(450);
  Duration max_gap = std::chrono::milliseconds(1200);
  /// Between two events, in times of what the engine takes for one.
  double gap_event_times = 5;

  bool operator==(const run_timeouts&) const = default;

  /** @param first_event_timeouts runs in a row that were stopped without an event. */
  Duration forFirstEvent(int first_event_timeouts) const {
    Duration limit = this->first_event;
    for (int i = 0; i < first_event_timeouts && limit < this->max_first_event; ++i) limit *= 2;
    return std::min(limit, this->max_first_event);
  }

  /** @param event_time of the engine, in seconds; 0: not known. */
  Duration forGap(double event_time) const {
    if (event_time <= 0) return this->max_gap;
    return std::clamp(fromSeconds(this->gap_event_times * event_time), this->min_gap,
                      this->max_gap);
  }
};

}  // namespace linenpier::batch
