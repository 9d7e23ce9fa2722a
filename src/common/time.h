#pragma once

/// @file
/// Time as the decision code sees it: a value passed in, never read from a clock.

#include <chrono>

namespace linenpier {

using Duration = std::chrono::microseconds;
/// A point on a monotonic time line. Only differences have a meaning.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// @return the present on the process's monotonic clock; used by shells, never by decision code.
inline Instant steadyNow() {
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

inline double toSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

inline Duration fromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace linenpier
