#pragma once

/** @file
 * Which runs leave the engines of closed zones now. Those that would not end in time by themselves
 * go on elsewhere, the longest first and spread over some time, so that they do not all ask the
 * engines that are left to read their texts at once. Pure.
 */

#include <cstddef>
#include <map>
#include <vector>

#include "common/time.h"
#include "gateway/fleet/closed_zones.h"

namespace linenpier::batch {

struct zone_drain_options {
  /// From the closing of a zone until the last run leaves it. The zone's engines may be taken away
  /// some five seconds after the closing; half of that leaves time for a second try.
  Duration drain_time = std::chrono::milliseconds(2500);
  /// A run that ends this soon stays in any case: to leave takes about as long.
  Duration min_remaining_time = std::chrono::milliseconds(250);
  std::size_t max_moves_per_poll = 6;  ///< Of one zone that leave in one go.
};

/** A run at an engine of a closed zone. */
struct placed_run {
  ZoneName zone;
  double seconds_left = 0;  ///< Until it is expected to end; infinite if nothing is known.
};

/** A zone that the last run has left. */
struct drained_zone {
  ZoneName zone;
  Duration took{};        ///< Since the closing was first acted on.
  std::size_t moved = 0;  ///< Runs that went on elsewhere; the others ended there.
};

class zone_drain_schedule {
 public:
  void setOptions(const zone_drain_options& options) { this->options_ = options; }
  const zone_drain_options& options() const { return this->options_; }

  /** Begins with zones that were closed lately and forgets those that were opened.
   * @param runs all that are at engines of closed zones.
   */
  void onZones(Instant now, const fleet::closed_zones& closed, const std::vector<placed_run>& runs);
  /** @return indices into `runs` of those that should leave now, the longest first. */
  std::vector<std::size_t> due(Instant now, const std::vector<placed_run>& runs) const;
  /** A run that was due has left, since there was room elsewhere. */
  void onRunMoved(const ZoneName& zone);
  /** @return zones without runs, each once a closing. */
  std::vector<drained_zone> takeDrained(Instant now, const std::vector<placed_run>& runs);
  /** @return whether no closed zone is known. */
  bool idle() const { return this->zones_.empty(); }

 private:
  struct zone_progress {
    Instant started_at{};
    std::size_t movable = 0;  ///< Runs at the closing that would not have ended in time.
    std::size_t moved = 0;
    bool drained = false;
  };

  bool mayFinishInPlace(Instant now, const zone_progress& progress, const placed_run& run) const;
  /** @return how many runs of the zone may leave now. */
  std::size_t moveQuota(Instant now, const zone_progress& progress) const;

  zone_drain_options options_;
  std::map<ZoneName, zone_progress> zones_;
};

}  // namespace linenpier::batch
