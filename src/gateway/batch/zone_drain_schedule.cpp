#include "gateway/batch/zone_drain_schedule.h"

#include <algorithm>
#include <cmath>

namespace linenpier::batch {

void zone_drain_schedule::onZones(Instant now, const fleet::closed_zones& closed,
                                  const std::vector<placed_run>& runs) {
  std::erase_if(this->zones_, [&closed](const auto& each) { return !closed.contains(each.first); });
  for (const auto& [zone, revision] : closed.all()) {
    const auto [at, fresh] = this->zones_.try_emplace(zone);
    if (!fresh) continue;
    const ZoneName& name = at->first;
    zone_progress& progress = at->second;
    progress.started_at = now;
    progress.movable = static_cast<std::size_t>(
        std::count_if(runs.begin(), runs.end(), [&, this](const placed_run& run) {
          return run.zone == name && !this->mayFinishInPlace(now, progress, run);
        }));
  }
}

bool zone_drain_schedule::mayFinishInPlace(Instant now, const zone_progress& progress,
                                           const placed_run& run) const {
  const Duration left = progress.started_at + this->options_.drain_time - now;
  return run.seconds_left <= toSeconds(std::max(left, this->options_.min_remaining_time));
}

std::size_t zone_drain_schedule::moveQuota(Instant now, const zone_progress& progress) const {
  const double elapsed = toSeconds(now - progress.started_at);
  const double drain_time = toSeconds(this->options_.drain_time);
  if (elapsed >= drain_time) return this->options_.max_moves_per_poll;
  const double movable = static_cast<double>(progress.movable);
  const auto due_by_now = static_cast<std::size_t>(std::ceil(movable * elapsed / drain_time));
  const std::size_t behind = due_by_now - std::min(due_by_now, progress.moved);
  return std::min(behind, this->options_.max_moves_per_poll);
}

std::vector<std::size_t> zone_drain_schedule::due(Instant now,
                                                  const std::vector<placed_run>& runs) const {
  std::vector<std::size_t> movable;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    const auto zone = this->zones_.find(runs[i].zone);
    if (zone == this->zones_.end()) continue;
    if (!this->mayFinishInPlace(now, zone->second, runs[i])) movable.push_back(i);
  }
  std::stable_sort(movable.begin(), movable.end(), [&runs](std::size_t one, std::size_t other) {
    return runs[one].seconds_left > runs[other].seconds_left;
  });
  std::map<ZoneName, std::size_t> quotas;
  for (const auto& [zone, progress] : this->zones_) quotas[zone] = this->moveQuota(now, progress);
  std::erase_if(movable, [&](std::size_t i) {
    std::size_t& left = quotas[runs[i].zone];
    if (left == 0) return true;
    --left;
    return false;
  });
  return movable;
}

void zone_drain_schedule::onRunMoved(const ZoneName& zone) {
  const auto at = this->zones_.find(zone);
  if (at != this->zones_.end()) ++at->second.moved;
}

std::vector<drained_zone> zone_drain_schedule::takeDrained(Instant now,
                                                           const std::vector<placed_run>& runs) {
  std::vector<drained_zone> drained;
  for (auto& [zone, progress] : this->zones_) {
    const bool any = std::any_of(runs.begin(), runs.end(), [&name = zone](const placed_run& run) {
      return run.zone == name;
    });
    if (any || progress.drained) continue;
    progress.drained = true;
    drained.push_back({zone, now - progress.started_at, progress.moved});
  }
  return drained;
}

}  // namespace linenpier::batch
