#pragma once

/** @file
 * Selects runs to move from slow engines to clearly faster ones with free slots. Pure: reads the
 * engine registry, but sends nothing.
 */

#include <optional>
#include <vector>

#include "gateway/batch/batch_run.h"
#include "gateway/batch/length_estimator.h"
#include "gateway/batch/run_move_rules.h"
#include "gateway/engines/engine_registry.h"

namespace linenpier::batch {

/** A run of an item on an engine. */
struct item_run {
  ItemIndex item = 0;
  EngineId engine;
  Instant started_at{};
};

/** A planned move of a run, with the figures that it is based on. */
struct run_move {
  EngineId target;
  double events_left = 0;
  /// The current engine's time per event, relative to the median of its service.
  double latency_ratio = 1;
  /// The target engine's time per event, relative to the median of its service.
  double target_latency_ratio = 1;
};

/** @return the runs that may be moved, those with the longest expected texts first. */
std::vector<item_run> movableRuns(Instant now, const engines::engine_registry& registry,
                                  const batch_job& job, const std::vector<item_run>& runs,
                                  const run_move_rules& rules);

/** @param wanted the item's requirements, which exclude the current engine.
 * @return the move, if it is worth its cost.
 */
std::optional<run_move> planMove(Instant now, engines::engine_registry& registry,
                                 const length_estimator& lengths, const batch_run& run,
                                 const item_run& from, const engines::engine_request& wanted,
                                 const run_move_rules& rules);

}  // namespace linenpier::batch
