#pragma once

/** @file
 * How long an item waits before it runs again after engines have crashed while they ran it.
 *
 * An item is never given up for crashes: the job owes its result, and many engines may crash under
 * the same sound item when a zone loses power or a release fails. The delays only limit how many
 * engines an item could take down that does crash them.
 */

#include <algorithm>

#include "common/time.h"

namespace linenpier::batch {

struct crash_delays {
  /// Longest time from the start of a run to a crash that counts. A request that crashes engines
  /// crashes them when its execution starts.
  Duration max_run_before_crash = std::chrono::seconds(3);
  /// Delay after the second consecutive crash; doubled for each further one.
  Duration initial = std::chrono::seconds(1);
  /// An item that waits for an engine must be started within 5 s.
  Duration max = std::chrono::seconds(4);

  bool operator==(const crash_delays&) const = default;

  /** @param crashes number of consecutive crashes; at least 1. */
  Duration after(int crashes) const {
    if (crashes <= 1) return Duration::zero();
    Duration delay = this->initial;
    for (int i = 2; i < crashes && delay < this->max; ++i) delay *= 2;
    return std::min(delay, this->max);
  }
};

}  // namespace linenpier::batch
