#pragma once

/** @file
 * Selects the owner of a new job. Pure. See `job_ownership` for jobs whose owner is lost.
 */

#include <set>
#include <vector>

#include "gateway/batch/batch_types.h"
#include "gateway/fleet/data_residency.h"
#include "gateway/fleet/fleet_layout.h"
#include "gateway/lease/lease_table.h"

namespace linenpier::batch {

struct new_job_owner_inputs {
  /// Live daemons that are willing to own jobs, by capacity, highest first.
  std::vector<lease::owner_candidate> candidates;
  /// Owner of the latest job of the model, if it is alive. It has connections to the engines and
  /// recent results in memory. Empty: none.
  LeaseId previous;
  ZoneName previous_zone;          ///< Zone of the previous owner; empty if unknown.
  std::size_t previous_items = 0;  ///< Items of open jobs owned by `previous`.
  std::size_t items = 0;           ///< Items of the new job.
  std::set<LeaseId> busy;          ///< Owners of open jobs of other models.
  std::size_t model_index = 0;     ///< Index of the model in the configuration.
  std::size_t max_open_items = 0;  ///< Maximum number of items of open jobs per owner.
};

/** @return the inputs without daemons outside the residency. A daemon of an unknown zone is outside
 *     of any restricted residency.
 */
new_job_owner_inputs withinResidency(new_job_owner_inputs inputs,
                                     const fleet::data_residency& residency,
                                     const fleet::fleet_layout& layout);

/** @return the owner; `fallback` if there are no candidates. */
LeaseId chooseNewJobOwner(const new_job_owner_inputs& inputs, const LeaseId& fallback);

}  // namespace linenpier::batch
