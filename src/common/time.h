#pragma once

/// @file
/// Time types. Decision code gets the time as a parameter and never reads a clock.

#include <chrono>

#include "common/machine_clock.h"

namespace linenpier {

using Duration = std::chrono::microseconds;
/// A monotonic point in time. Only differences are meaningful.
using Instant = machine_clock::time_point;

/// @return the current time of the monotonic clock, which includes suspensions. Not for decision
/// code.
inline Instant steadyNow() {
  return machine_clock::now();
}

inline double toSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

inline Duration fromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace linenpier
