#pragma once

/// @file
/// How much work this daemon can take on, as it observes itself. Pure.

#include <algorithm>

#include "common/time.h"

namespace linenpier::lease {

/// What the machine was given.
struct MachineLimits {
  double processors = 1;    ///< Share of a core, times how many cores it counts as.
  double link_mbps = 1000;  ///< Of its own link.
};

/// A machine that is short of processor time runs its timers late, whatever it was given: a slow
/// machine, a spent quota and an overloaded daemon all show in that.
class OwnCapacity {
 public:
  explicit OwnCapacity(MachineLimits limits) : limits_(limits) {}

  /// A timer ran this long after it was due.
  void onTimer(Duration lateness) {
    const double seconds = toSeconds(std::max(lateness - kDefaultLateness, Duration::zero()));
    lateness_ += kNewestWeight * (seconds - lateness_);
  }

  /// @return processors that this daemon counts as, bounded by its link.
  double value() const {
    const double given = std::min(limits_.processors, limits_.link_mbps / kMbpsPerProcessor);
    return given / (1 + lateness_ / toSeconds(kHalvingLateness));
  }

 private:
  /// Timers of an idle machine run up to this late.
  static constexpr Duration kDefaultLateness = std::chrono::milliseconds(5);
  /// A daemon whose timers run this late counts half: items that wait for each other's events by
  /// this much lose about as much as they would on a machine of half the speed.
  static constexpr Duration kHalvingLateness = std::chrono::milliseconds(20);
  static constexpr double kNewestWeight = 0.2;  ///< Of some two seconds' timers.
  /// A large step writes some 1 MB when it ends, which takes 10 ms at this rate: as long as a whole
  /// processor takes to encode it.
  static constexpr double kMbpsPerProcessor = 1000;

  MachineLimits limits_;
  double lateness_ = 0;  ///< Smoothed, in seconds.
};

}  // namespace linenpier::lease
