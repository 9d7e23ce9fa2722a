#pragma once

/** @file
 * How the number of engines is decided: the mode, times and shares. Values.
 */

#include "common/time.h"

namespace linenpier::scaling {

enum class ScalingMode {
  kFixed,    ///< Nothing is ordered.
  kReplace,  ///< Engines that are missing are replaced.
  kDemand,   ///< They are replaced, and the number follows the open work.
};

struct scaling_options {
  ScalingMode mode = ScalingMode::kFixed;
  /// The list of engines must have been up to date for so long before anything is decided by it:
  /// entries that lapsed while the store was away come back meanwhile.
  Duration settle = std::chrono::seconds(3);
  /// Engines that are no longer listed, without having drained, count as lost after this long: most
  /// that only missed heartbeats are listed again by then.
  Duration loss_timeout = std::chrono::seconds(3);
  /// An engine that was ordered may be missing this much longer than it takes to boot before the
  /// same number is ordered again.
  Duration boot_slack = std::chrono::seconds(3);
  /// Scale-down stabilization window: longer than a burst of work and the warm-up of new engines
  /// together.
  Duration stabilization_window = std::chrono::seconds(10);
  /// Between two engines fewer in a group.
  Duration scale_down_interval = std::chrono::seconds(3);
  Duration first_backoff = std::chrono::seconds(2);  ///< After a refusal; doubles with each more.
  Duration max_backoff = std::chrono::seconds(30);
  /// Engines that the platform takes back are not to be had again for some time.
  Duration reclaim_backoff = std::chrono::seconds(10);
  /// Jobs come in bursts: the most items that were open within this time count as open.
  Duration peak_window = std::chrono::seconds(10);
  double items_per_slot = 4;  ///< Open items that a slot works off in the time they have.
  /// Engines of a zone may be taken away while no more than this share of its slots is in use: the
  /// platform chooses which one goes, so none may have long runs.
  double quiet_share = 0.25;
  double min_share = 0.5;  ///< Of a zone's baseline: never fewer, however little work.
};

}  // namespace linenpier::scaling
