#pragma once

/** @file
 * Moves runs of owned jobs from slow engines to clearly faster ones that have room. Which runs, and
 * whether a move is worth its cost, is decided by `run_moves.h`; this class stops the run, and the
 * item then waits for an engine as any other.
 */

#include <functional>

#include "gateway/batch/engine_request_builder.h"
#include "gateway/batch/job_registry.h"
#include "gateway/batch/length_estimator.h"
#include "gateway/batch/planned_moves.h"
#include "gateway/batch/run_moves.h"

namespace linenpier::batch {

/** Holds no state of its own. Loop thread only. */
class slow_run_mover {
 public:
  struct dependencies {
    engines::engine_registry& registry;
    job_registry& jobs;
    const length_estimator& lengths;
    const engine_request_builder& engine_requests;
    std::function<routing::RouteTablePtr()> routes;
    const batch_options& options;
  };

  explicit slow_run_mover(dependencies deps) : deps_(std::move(deps)) {}

  void moveSlowRuns(Instant now);

 private:
  void moveRunsOf(Instant now, active_job& active, planned_moves& moves);
  void moveRun(Instant now, active_job& active, const item_run& run, const routing::Route& route,
               planned_moves& moves);

  dependencies deps_;
};

}  // namespace linenpier::batch
