#pragma once

/** @file
 * From which gain on a run moves from a slow engine to a faster one.
 */

#include <cstddef>

#include "common/time.h"

namespace linenpier::batch {

struct run_move_rules {
  /// An engine must be this much faster for a run to move there.
  double min_speedup = 1.15;
  /// A move must save more than this; reading a prompt and the text so far again costs less.
  Duration min_saving = std::chrono::milliseconds(250);
  Duration min_run_time = std::chrono::milliseconds(1000);  ///< Runs that began later stay.
  std::size_t max_moves_per_poll = 6;  ///< Runs of this daemon that move in one poll.
};

}  // namespace linenpier::batch
