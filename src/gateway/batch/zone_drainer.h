#pragma once

/** @file
 * Moves runs of owned jobs, with their text, out of closed zones as capacity elsewhere permits.
 * `zone_drain_schedule` decides when each run is moved.
 */

#include <functional>
#include <vector>

#include "gateway/batch/engine_requirements_builder.h"
#include "gateway/batch/job_registry.h"
#include "gateway/batch/length_estimator.h"
#include "gateway/batch/planned_moves.h"
#include "gateway/batch/zone_drain_schedule.h"

namespace linenpier::batch {

/** Owns the progress of draining. The class must be used from the event loop thread only. */
class zone_drainer {
 public:
  struct dependencies {
    engines::engine_registry& registry;
    job_registry& jobs;
    const length_estimator& lengths;
    const engine_requirements_builder& engine_requirements;
    std::function<routing::ConfigurationPtr()> routes;
  };

  explicit zone_drainer(dependencies deps) : deps_(std::move(deps)) {}

  void setOptions(const zone_drain_options& options) { this->schedule_.setOptions(options); }
  void drainClosedZones(Instant now);
  /** @return the number of runs of owned jobs on engines of the zone. */
  std::size_t runsIn(const ZoneName& zone) const;

 private:
  struct located_run;

  /** @param located receives the jobs and items of the returned runs, in the same order. */
  std::vector<placed_run> runsInClosedZones(Instant now, std::vector<located_run>& located) const;
  /** Stops a run, so that it resumes on another engine. @return whether one was free. */
  bool moveRun(Instant now, const located_run& run, planned_moves& moves);

  dependencies deps_;
  zone_drain_schedule schedule_;
};

}  // namespace linenpier::batch
