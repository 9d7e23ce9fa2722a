#pragma once

/// @file
/// Time as the decision code sees it: a value passed in, never read from a clock.

#include <chrono>

#include "common/machine_clock.h"

namespace linenpier {

using Duration = std::chrono::microseconds;
/// A point on a monotonic time line. Only differences have a meaning.
using Instant = machine_clock::time_point;

/// @return the present on the machine's monotonic clock, suspensions included; used by shells,
/// never by decision code.
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
