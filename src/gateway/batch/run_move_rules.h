#pragma once

/** @file
 * From which gain on a run moves from a slow engine to a faster one.
 */

#include <cstddef>

#include "common/time.h"

namespace linenpier::batch {

struct run_move_rules {
  /// An engine must be this much faster for a run to move there.
  double gain = 1.15;
  /// A move must save more than this; reading a prompt and the text so far again costs less.
  Duration saving = std::chrono::milliseconds(250);
  Duration min_run = std::chrono::milliseconds(1000);  ///< Runs that began later stay.
  std::size_t max_per_tick = 6;  ///< Runs of this daemon that move in one poll.
};

}  // namespace linenpier::batch
