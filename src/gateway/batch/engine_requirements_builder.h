#pragma once

/** @file
 * Determines what an item requires of the engine that runs it: version, capacity and residency.
 * Used for both starting and moving runs, so that both follow the same rules.
 */

#include <functional>

#include "gateway/batch/batch_options.h"
#include "gateway/batch/item_placement.h"
#include "gateway/batch/job_residency.h"

namespace linenpier::batch {

/** The class is stateless and must be used from the event loop thread only. */
class engine_requirements_builder {
 public:
  struct dependencies {
    const job_residency& residency;
    std::function<routing::ConfigurationPtr()> routes;
    const batch_options& options;
  };

  explicit engine_requirements_builder(dependencies deps) : deps_(std::move(deps)) {}

  /** @param route the job's route in the newest table. */
  engines::engine_request build(const active_job& active, ItemIndex item,
                                const routing::Route& route) const;

 private:
  dependencies deps_;
};

}  // namespace linenpier::batch
