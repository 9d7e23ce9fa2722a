#pragma once

/** @file
 * Which runs move from slow engines to clearly faster ones that have room. Pure: asks the registry,
 * sends nothing.
 */

#include <optional>
#include <vector>

#include "gateway/batch/batch_run.h"
#include "gateway/batch/length_estimator.h"
#include "gateway/batch/run_move_rules.h"
#include "gateway/engines/engine_registry.h"

namespace linenpier::batch {

/** An item's run on an engine. */
struct item_run {
  ItemIndex item = 0;
  EngineId engine;
  Instant started_at{};
};

/** A run that should go on at another engine, with what that was decided on. */
struct run_move {
  EngineId target;
  double events_left = 0;
  double latency_ratio = 1;  ///< Of the engine that it is at, over the median.
  double target_latency_ratio = 1;
};

/** @return the runs that may move, those that are expected to last longest first. */
std::vector<item_run> movableRuns(Instant now, const engines::engine_registry& registry,
                                  const ServiceName& service, const batch_job& job,
                                  const std::vector<item_run>& runs, const run_move_rules& rules);

/** @param wanted what the item asks of an engine, without the one that it is at.
 * @return where the run should go on, if the move is worth its cost.
 */
std::optional<run_move> planMove(Instant now, engines::engine_registry& registry,
                                 const length_estimator& lengths, const batch_run& run,
                                 const item_run& from, const engines::engine_request& wanted,
                                 const run_move_rules& rules);

}  // namespace linenpier::batch
