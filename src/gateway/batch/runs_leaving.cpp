#include "gateway/batch/runs_leaving.h"

#include <algorithm>
#include <cmath>

namespace linenpier::batch {

void runs_leaving::onZones(Instant now, const fleet::closed_zones& closed,
                           const std::vector<placed_run>& runs) {
  std::erase_if(this->zones_, [&closed](const auto& each) { return !closed.contains(each.first); });
  for (const auto& [zone, revision] : closed.all()) {
    const auto [at, fresh] = this->zones_.try_emplace(zone);
    if (!fresh) continue;
    const ZoneName& name = at->first;
    zone_progress& progress = at->second;
    progress.begun = now;
    progress.leavers = static_cast<std::size_t>(
        std::count_if(runs.begin(), runs.end(), [&, this](const placed_run& run) {
          return run.zone == name && !this->stays(now, progress, run);
        }));
  }
}

bool runs_leaving::stays(Instant now, const zone_progress& progress, const placed_run& run) const {
  const Duration left = progress.begun + this->options_.within - now;
  return run.seconds_left <= toSeconds(std::max(left, this->options_.ends_soon));
}

std::size_t runs_leaving::quota(Instant now, const zone_progress& progress) const {
  const double elapsed = toSeconds(now - progress.begun);
  const double within = toSeconds(this->options_.within);
  if (elapsed >= within) return this->options_.max_at_once;
  const double leavers = static_cast<double>(progress.leavers);
  const auto due_by_now = static_cast<std::size_t>(std::ceil(leavers * elapsed / within));
  const std::size_t behind = due_by_now - std::min(due_by_now, progress.left);
  return std::min(behind, this->options_.max_at_once);
}

std::vector<std::size_t> runs_leaving::due(Instant now, const std::vector<placed_run>& runs) const {
  std::vector<std::size_t> leavers;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    const auto zone = this->zones_.find(runs[i].zone);
    if (zone == this->zones_.end()) continue;
    if (!this->stays(now, zone->second, runs[i])) leavers.push_back(i);
  }
  std::stable_sort(leavers.begin(), leavers.end(), [&runs](std::size_t one, std::size_t other) {
    return runs[one].seconds_left > runs[other].seconds_left;
  });
  std::map<ZoneName, std::size_t> quotas;
  for (const auto& [zone, progress] : this->zones_) quotas[zone] = this->quota(now, progress);
  std::erase_if(leavers, [&](std::size_t i) {
    std::size_t& left = quotas[runs[i].zone];
    if (left == 0) return true;
    --left;
    return false;
  });
  return leavers;
}

void runs_leaving::onLeft(const ZoneName& zone) {
  const auto at = this->zones_.find(zone);
  if (at != this->zones_.end()) ++at->second.left;
}

std::vector<emptied_zone> runs_leaving::takeEmptied(Instant now,
                                                    const std::vector<placed_run>& runs) {
  std::vector<emptied_zone> emptied;
  for (auto& [zone, progress] : this->zones_) {
    const bool any = std::any_of(runs.begin(), runs.end(), [&name = zone](const placed_run& run) {
      return run.zone == name;
    });
    if (any || progress.emptied) continue;
    progress.emptied = true;
    emptied.push_back({zone, now - progress.begun, progress.left});
  }
  return emptied;
}

}  // namespace linenpier::batch
