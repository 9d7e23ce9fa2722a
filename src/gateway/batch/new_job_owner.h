#pragma once

/** @file
 * Which daemon is to own a job that is handed in. Pure. Who goes on with a job whose owner is lost
 * is another question: `job_ownership`.
 */

#include <set>
#include <vector>

#include "gateway/batch/batch_types.h"
#include "gateway/fleet/data_residency.h"
#include "gateway/fleet/fleet_layout.h"
#include "gateway/lease/lease_table.h"

namespace linenpier::batch {

struct new_job_owner_inputs {
  /// Live daemons that offer to own jobs, by capacity, best first.
  std::vector<lease::owner_candidate> candidates;
  /// Owner of the model's newest job, if it lives: it has connections to the engines, and what it
  /// runs there and what is kept in memory. Empty: there is none.
  LeaseId previous;
  ZoneName previous_zone;          ///< Empty: not known.
  std::size_t previous_items = 0;  ///< Items of open jobs that `previous` owns.
  std::size_t items = 0;           ///< Of the new job.
  std::set<LeaseId> busy;          ///< Owners of open jobs of other models.
  std::size_t model_index = 0;     ///< Position among the models that are trained.
  std::size_t max_open_items = 0;  ///< That one daemon is given.
};

/** @return the choice without those that are elsewhere, or whose zone is not in the layout. */
new_job_owner_inputs withinResidency(new_job_owner_inputs inputs,
                                     const fleet::data_residency& residency,
                                     const fleet::fleet_layout& layout);

/** @return the owner; `own` where nobody offers. */
LeaseId chooseNewJobOwner(const new_job_owner_inputs& inputs, const LeaseId& fallback);

}  // namespace linenpier::batch
