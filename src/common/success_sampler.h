#pragma once

/// @file
/// Limits the number of log lines for successes. Failures are always logged.

#include <cstdint>

#include "common/time.h"

namespace linenpier::logging {

/// Logs a number of successes per second, and a fraction of those beyond. Loop thread only.
class SuccessSampler {
 public:
  SuccessSampler(std::uint32_t full_per_second, std::uint32_t sample_one_in)
      : full_per_second_(full_per_second), sample_one_in_(sample_one_in) {}

  /// @return whether a success at `now` must be logged.
  bool admit(Instant now);
  /// @return the number of successes that were not logged since the last call.
  std::uint64_t takeSkipped();

 private:
  std::uint32_t full_per_second_;
  std::uint32_t sample_one_in_;
  Instant window_start_{};
  std::uint32_t in_window_ = 0;
  std::uint64_t skipped_ = 0;
};

}  // namespace linenpier::logging
