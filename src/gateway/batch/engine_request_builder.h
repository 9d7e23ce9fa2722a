#pragma once

/** @file
 * What an item asks of an engine: its version, room and residency. Asked before a run starts and
 * before it moves, so that both follow the same rules.
 */

#include <functional>

#include "gateway/batch/batch_options.h"
#include "gateway/batch/item_placement.h"
#include "gateway/batch/job_residency.h"

namespace linenpier::batch {

/** Holds no state of its own. Loop thread only. */
class engine_request_builder {
 public:
  struct dependencies {
    const job_residency& residency;
    std::function<routing::RouteTablePtr()> routes;
    const batch_options& options;
  };

  explicit engine_request_builder(dependencies deps) : deps_(std::move(deps)) {}

  /** @param route of the job; of the newest table. */
  engines::engine_request build(const active_job& active, ItemIndex item,
                                const routing::Route& route) const;

 private:
  dependencies deps_;
};

}  // namespace linenpier::batch
