#pragma once

/** @file
 * Moves runs of owned jobs from slow engines to clearly faster ones with free slots. `run_moves.h`
 * selects the runs; this class stops them, and their items then wait for an engine like any other.
 */

#include <functional>

#include "gateway/batch/engine_requirements_builder.h"
#include "gateway/batch/job_registry.h"
#include "gateway/batch/length_estimator.h"
#include "gateway/batch/planned_moves.h"
#include "gateway/batch/run_moves.h"

namespace linenpier::batch {

/** The class is stateless and must be used from the event loop thread only. */
class slow_run_mover {
 public:
  struct dependencies {
    engines::engine_registry& registry;
    job_registry& jobs;
    const length_estimator& lengths;
    const engine_requirements_builder& engine_requirements;
    std::function<routing::ConfigurationPtr()> routes;
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
