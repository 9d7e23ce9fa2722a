#include "gateway/batch/new_job_owner.h"

#include <algorithm>

namespace linenpier::batch {

namespace {

/// A model's jobs stay with their owner until it can carry less than this part of what the best
/// one can: to move costs the connections and what is kept in memory.
constexpr double kWorthKeeping = 0.5;
/// Daemons that can carry at least this part of what the best one can are as good as it.
constexpr double kAsGood = 0.7;

double capacityOf(const std::vector<lease::owner_candidate>& candidates, const LeaseId& lease) {
  const auto at = std::find_if(candidates.begin(), candidates.end(),
                               [&lease](const auto& each) { return each.lease == lease; });
  return at == candidates.end() ? 0 : at->capacity;
}

bool keepsPrevious(const new_job_owner_inputs& choice) {
  if (choice.previous.empty()) return false;
  if (choice.previous_items + choice.items > choice.max_open_items) return false;
  if (choice.candidates.empty()) return true;
  const double best = choice.candidates.front().capacity;
  return capacityOf(choice.candidates, choice.previous) >= kWorthKeeping * best;
}

}  // namespace

new_job_owner_inputs withinResidency(new_job_owner_inputs choice,
                                     const fleet::data_residency& residency,
                                     const fleet::fleet_layout& layout) {
  std::erase_if(choice.candidates, [&](const lease::owner_candidate& each) {
    return !residency.allows(layout.regionOf(each.zone));
  });
  if (!residency.allows(layout.regionOf(choice.previous_zone))) choice.previous = LeaseId();
  return choice;
}

LeaseId chooseNewJobOwner(const new_job_owner_inputs& choice, const LeaseId& own) {
  if (keepsPrevious(choice)) return choice.previous;
  if (choice.candidates.empty()) return own;
  const double least = kAsGood * choice.candidates.front().capacity;
  std::vector<LeaseId> good;
  for (const lease::owner_candidate& each : choice.candidates) {
    if (each.capacity >= least && each.lease != choice.previous) good.push_back(each.lease);
  }
  // Owners of other models are taken only where there is nobody else: a machine that is lost should
  // take few trainers with it.
  std::vector<LeaseId> idle;
  std::copy_if(good.begin(), good.end(), std::back_inserter(idle),
               [&choice](const LeaseId& each) { return !choice.busy.contains(each); });
  const std::vector<LeaseId>& from = idle.empty() ? good : idle;
  if (from.empty()) return choice.candidates.front().lease;
  // First jobs of several models are handed in at the same moment at daemons that know nothing of
  // each other's choice: by the model's position each takes another owner.
  return from[choice.model_index % from.size()];
}

}  // namespace linenpier::batch
