#pragma once

/** @file
 * Schedules the moves of runs out of closed zones. Runs that would not end in time are moved, the
 * longest first and spread over the drain time, so that the remaining engines do not have to
 * process all of their texts at once. Pure.
 */

#include <cstddef>
#include <map>
#include <vector>

#include "common/time.h"
#include "gateway/fleet/closed_zones.h"

namespace linenpier::batch {

struct zone_drain_options {
  /// Time from the closing of a zone until the last of its runs should be moved. Leaves time for
  /// another attempt before the zone's engines may be shut down.
  Duration drain_time = std::chrono::milliseconds(2500);
  /// Minimum expected remaining time of a run that is moved. Moving a shorter one saves no time.
  Duration min_remaining_time = std::chrono::milliseconds(250);
  std::size_t max_moves_per_poll = 6;  ///< Maximum number of moves per zone and poll.
};

/** A run on an engine of a closed zone. */
struct placed_run {
  ZoneName zone;
  double seconds_left = 0;  ///< Expected remaining time of the run; infinite if unknown.
};

/** A zone without remaining runs. */
struct drained_zone {
  ZoneName zone;
  Duration took{};        ///< Time since draining started.
  std::size_t moved = 0;  ///< Number of moved runs; the others ended in the zone.
};

class zone_drain_schedule {
 public:
  void setOptions(const zone_drain_options& options) { this->options_ = options; }
  const zone_drain_options& options() const { return this->options_; }

  /** Starts draining newly closed zones and stops draining reopened ones.
   * @param runs all runs on engines of closed zones.
   */
  void onZones(Instant now, const fleet::closed_zones& closed, const std::vector<placed_run>& runs);
  /** @return indices into `runs` of the runs to move now, the longest first. */
  std::vector<std::size_t> due(Instant now, const std::vector<placed_run>& runs) const;
  /** Records that a run was moved out of the zone. */
  void onRunMoved(const ZoneName& zone);
  /** @return closed zones without remaining runs; each is returned once per closing. */
  std::vector<drained_zone> takeDrained(Instant now, const std::vector<placed_run>& runs);
  /** @return whether no closed zone is known. */
  bool idle() const { return this->zones_.empty(); }

 private:
  struct zone_progress {
    Instant started_at{};
    /// Number of runs that, when draining started, were not expected to end in time.
    std::size_t movable = 0;
    std::size_t moved = 0;
    bool drained = false;
  };

  bool mayFinishInPlace(Instant now, const zone_progress& progress, const placed_run& run) const;
  /** @return how many runs of the zone may be moved now. */
  std::size_t moveQuota(Instant now, const zone_progress& progress) const;

  zone_drain_options options_;
  std::map<ZoneName, zone_progress> zones_;
};

}  // namespace linenpier::batch
