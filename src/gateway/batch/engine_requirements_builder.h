#pragma once

/** @file
 * Determines which services may run an item, in which order they are tried, and what the item
 * requires of their engines: version, capacity and residency. Used for both starting and moving
 * runs, so that both follow the same rules.
 */

#include <functional>

#include "gateway/batch/batch_options.h"
#include "gateway/batch/item_placement.h"
#include "gateway/batch/job_residency.h"
#include "gateway/routing/weighted_round_robin.h"

namespace linenpier::batch {

/** The class is stateless and must be used from the event loop thread only. */
class engine_requirements_builder {
 public:
  struct dependencies {
    const job_residency& residency;
    std::function<routing::ConfigurationPtr()> routes;
    routing::weighted_round_robin& round_robin;
    const batch_options& options;
  };

  explicit engine_requirements_builder(dependencies deps) : deps_(std::move(deps)) {}

  /** @param route the job's route in the newest table.
   * @return the requirements in each service of the route, in the order to try them.
   */
  std::vector<engines::engine_request> build(const active_job& active, ItemIndex item,
                                             const routing::Route& route) const;
  /** Called when an item of the route was started. */
  void onStarted(const routing::Route& route) const { this->deps_.round_robin.advance(route); }

 private:
  dependencies deps_;
};

}  // namespace linenpier::batch
