#include "gateway/batch/new_job_owner.h"

#include <algorithm>

namespace linenpier::batch {

namespace {

/// The previous owner is kept while its capacity is at least this share of the best candidate's:
/// another one would have to open connections and lacks the results in memory.
constexpr double kKeepOwnerCapacityRatio = 0.5;
/// Candidates with at least this share of the best one's capacity are considered equivalent.
constexpr double kSimilarCapacityRatio = 0.7;

double capacityOf(const std::vector<lease::owner_candidate>& candidates, const LeaseId& lease) {
  const auto at = std::find_if(candidates.begin(), candidates.end(),
                               [&lease](const auto& each) { return each.lease == lease; });
  return at == candidates.end() ? 0 : at->capacity;
}

bool keepsPrevious(const new_job_owner_inputs& inputs) {
  if (inputs.previous.empty()) return false;
  if (inputs.previous_items + inputs.items > inputs.max_open_items) return false;
  if (inputs.candidates.empty()) return true;
  const double best = inputs.candidates.front().capacity;
  return capacityOf(inputs.candidates, inputs.previous) >= kKeepOwnerCapacityRatio * best;
}

}  // namespace

new_job_owner_inputs withinResidency(new_job_owner_inputs inputs,
                                     const fleet::data_residency& residency,
                                     const fleet::fleet_layout& layout) {
  std::erase_if(inputs.candidates, [&](const lease::owner_candidate& each) {
    return !residency.allows(layout.regionOf(each.zone));
  });
  if (!residency.allows(layout.regionOf(inputs.previous_zone))) inputs.previous = LeaseId();
  return inputs;
}

LeaseId chooseNewJobOwner(const new_job_owner_inputs& inputs, const LeaseId& fallback) {
  if (keepsPrevious(inputs)) return inputs.previous;
  if (inputs.candidates.empty()) return fallback;
  const double min_capacity = kSimilarCapacityRatio * inputs.candidates.front().capacity;
  std::vector<LeaseId> eligible;
  for (const lease::owner_candidate& each : inputs.candidates) {
    if (each.capacity >= min_capacity && each.lease != inputs.previous)
      eligible.push_back(each.lease);
  }
  // Prefer daemons that own no jobs of other models, so that the loss of one machine affects few
  // trainers.
  std::vector<LeaseId> idle;
  std::copy_if(eligible.begin(), eligible.end(), std::back_inserter(idle),
               [&inputs](const LeaseId& each) { return !inputs.busy.contains(each); });
  const std::vector<LeaseId>& from = idle.empty() ? eligible : idle;
  if (from.empty()) return inputs.candidates.front().lease;
  // The first jobs of several models may be submitted concurrently at daemons that do not know of
  // each other's choice. Selecting by the model's index distributes these jobs.
  return from[inputs.model_index % from.size()];
}

}  // namespace linenpier::batch
