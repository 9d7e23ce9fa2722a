#pragma once

/** @file
 * Options of scaling.
 */

#include "common/time.h"

namespace linenpier::scaling {

enum class ScalingMode {
  kFixed,    ///< No scaling.
  kReplace,  ///< Missing engines are replaced.
  kDemand,   ///< Missing engines are replaced, and the count follows the open work.
};

struct scaling_options {
  ScalingMode mode = ScalingMode::kFixed;
  /// How long the list of engines must have been up to date before decisions are based on it, so
  /// that entries that lapsed during a store outage can reappear.
  Duration settle = std::chrono::seconds(3);
  /// Engines that disappear from the list without draining count as lost after this time. Most of
  /// those that only missed heartbeats reappear sooner.
  Duration loss_timeout = std::chrono::seconds(3);
  /// Time in excess of the boot time after which a missing engine is ordered again.
  Duration boot_slack = std::chrono::seconds(3);
  /// Scale-down stabilization window; longer than a burst of work plus the warm-up of new engines.
  Duration stabilization_window = std::chrono::seconds(10);
  /// Minimum time between two scale-downs of a group; each removes one engine.
  Duration scale_down_interval = std::chrono::seconds(3);
  /// Wait after a rejected order; doubles with each further rejection, up to `max_backoff`.
  Duration first_backoff = std::chrono::seconds(2);
  Duration max_backoff = std::chrono::seconds(30);
  /// How long a group counts as without capacity after the platform reclaimed engines of it.
  Duration reclaim_backoff = std::chrono::seconds(10);
  /// Jobs arrive in bursts, so the maximum of open items over this window counts as the open work.
  Duration peak_window = std::chrono::seconds(10);
  double items_per_slot = 4;  ///< Open items for which one slot is planned.
  /// A zone may be scaled down while at most this share of its slots is in use: the platform
  /// chooses the engine to stop, so all of them should be nearly idle.
  double quiet_share = 0.25;
  double min_share = 0.5;  ///< Minimum share of a zone's baseline, however little work there is.
};

}  // namespace linenpier::scaling
