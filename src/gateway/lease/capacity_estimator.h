#pragma once

/** @file
 * How much work this daemon can take on, as it observes itself. Pure.
 */

#include <algorithm>

#include "common/time.h"

namespace linenpier::lease {

/** What the machine was given. */
struct machine_limits {
  double processors = 1;    ///< Share of a core, times how many cores it counts as.
  double link_mbps = 1000;  ///< Of its own network link.
};

/** Capacity in processors: what the machine was given, lowered by how late its timers run. A slow
 * machine, a spent quota and an overloaded daemon all show in that.
 */
class capacity_estimator {
 public:
  explicit capacity_estimator(machine_limits limits) : limits_(limits) {}

  /** A timer ran this long after it was due. */
  void onTimerLateness(Duration lateness) {
    const double seconds = toSeconds(std::max(lateness - kToleratedLateness, Duration::zero()));
    this->lateness_ += kNewestWeight * (seconds - this->lateness_);
  }

  /** @return processors that this daemon counts as, bounded by its link. */
  double value() const {
    const double by_link = this->limits_.link_mbps / kMbpsPerProcessor;
    const double given = std::min(this->limits_.processors, by_link);
    return given / (1 + this->lateness_ / toSeconds(kHalvingLateness));
  }

 private:
  /// Timers of an idle machine run up to this late.
  static constexpr Duration kToleratedLateness = std::chrono::milliseconds(5);
  /// A daemon whose timers run this late counts half: each step of an item's run is put off by it,
  /// about as much as on a machine of half the speed.
  static constexpr Duration kHalvingLateness = std::chrono::milliseconds(20);
  /// Of the newest timer in the smoothed lateness, which covers some two seconds of renewals.
  static constexpr double kNewestWeight = 0.2;
  /// Link that one processor can make use of: a large step's results of 1 MB take 10 ms at this
  /// rate, as long as a whole processor takes to encode them.
  static constexpr double kMbpsPerProcessor = 1000;

  machine_limits limits_;
  double lateness_ = 0;  ///< Smoothed, in seconds.
};

}  // namespace linenpier::lease
