#pragma once

/** @file
 * Estimates how much work this daemon can take on. Does no I/O.
 */

#include <algorithm>

#include "common/time.h"

namespace linenpier::lease {

/** Resources of the machine. */
struct machine_limits {
  double processors = 1;    ///< Cores available, which may be a fraction.
  double link_mbps = 1000;  ///< Bandwidth of the network link.
};

/** Capacity in processors: the machine's resources, reduced by the observed timer lateness, which
 * reflects a slow machine, an exhausted CPU quota or an overloaded daemon.
 */
class capacity_estimator {
 public:
  explicit capacity_estimator(machine_limits limits) : limits_(limits) {}

  /** Records by how much a timer was late. */
  void onTimerLateness(Duration lateness) {
    const double seconds = toSeconds(std::max(lateness - kIdleLateness, Duration::zero()));
    this->lateness_ += kNewestWeight * (seconds - this->lateness_);
  }

  /** @return the capacity in processors, limited by the link. */
  double value() const {
    const double by_link = this->limits_.link_mbps / kMbpsPerProcessor;
    const double available = std::min(this->limits_.processors, by_link);
    return available / (1 + this->lateness_ / toSeconds(kHalvingLateness));
  }

 private:
  /// Lateness of timers on an idle machine, which does not lower the capacity.
  static constexpr Duration kIdleLateness = std::chrono::milliseconds(5);
  /// Lateness beyond `kIdleLateness` that halves the capacity. A machine of half the speed would
  /// delay each step of an item's run about as much.
  static constexpr Duration kHalvingLateness = std::chrono::milliseconds(20);
  /// Weight of the newest sample in the moving average. One sample is taken per renewal interval,
  /// so the average covers about two seconds.
  static constexpr double kNewestWeight = 0.2;
  /// Bandwidth that one processor can use. Encoding results is assumed to take a processor about as
  /// long as sending the results over a link of this bandwidth: about 10 ms for 1 MB, the results
  /// of a large step.
  static constexpr double kMbpsPerProcessor = 1000;

  machine_limits limits_;
  double lateness_ = 0;  ///< Moving average of the timer lateness, in seconds.
};

}  // namespace linenpier::lease
