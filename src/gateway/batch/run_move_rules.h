#pragma once

/** @file
 * Conditions for moving a run from a slow engine to a faster one.
 */

#include <cstddef>

#include "common/time.h"

namespace linenpier::batch {

struct run_move_rules {
  /// Minimum ratio of the current engine's time per event to the median of its service, and to that
  /// of the target engine.
  double min_speedup = 1.15;
  /// Minimum time that a move is expected to save. Exceeds the cost of processing the prompt and
  /// text again.
  Duration min_saving = std::chrono::milliseconds(250);
  /// Minimum age of a run that may be moved.
  Duration min_run_time = std::chrono::milliseconds(1000);
  std::size_t max_moves_per_poll = 6;  ///< Maximum number of moves per daemon and poll.
};

}  // namespace linenpier::batch
