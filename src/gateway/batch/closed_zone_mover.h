#pragma once

/** @file
 * Moves runs of owned jobs away from the engines of closed zones, with the text made so far, as far
 * as there is room elsewhere. When each leaves is decided by `runs_leaving`.
 */

#include <functional>
#include <vector>

#include "gateway/batch/item_pick.h"
#include "gateway/batch/known_jobs.h"
#include "gateway/batch/length_estimate.h"
#include "gateway/batch/moves_planned.h"
#include "gateway/batch/runs_leaving.h"

namespace linenpier::batch {

/** Owns how far each closed zone is emptied. Loop thread only. */
class closed_zone_mover {
 public:
  struct dependencies {
    engines::engine_registry& registry;
    known_jobs& jobs;
    const length_estimate& lengths;
    const item_pick& picks;
    std::function<routing::RouteTablePtr()> routes;
  };

  explicit closed_zone_mover(dependencies deps) : deps_(std::move(deps)) {}

  void setOptions(const leaving_options& options) { this->leaving_.setOptions(options); }
  void leaveClosedZones(Instant now);
  /** @return runs of owned jobs at engines of the zone. */
  std::size_t runsIn(const ZoneName& zone) const;

 private:
  struct run_there;

  /** @param there the same runs, in the same order. */
  std::vector<placed_run> runsInClosedZones(Instant now, std::vector<run_there>& there) const;
  /** Stops the run, which goes on elsewhere. @return whether there was room. */
  bool leaveEngine(Instant now, const run_there& run, moves_planned& moves);

  dependencies deps_;
  runs_leaving leaving_;
};

}  // namespace linenpier::batch
