#pragma once

/// @file
/// Bounds how many lines about successes are written. Failures are always written.

#include <cstdint>

#include "common/time.h"

namespace linenpier::logging {

/// Lets a number of lines a second through, and then one in many. Loop thread only.
class SuccessSampler {
 public:
  SuccessSampler(std::uint32_t full_per_second, std::uint32_t sample_one_in)
      : full_per_second_(full_per_second), sample_one_in_(sample_one_in) {}

  /// @return whether the line about a success at `now` is to be written.
  bool admit(Instant now);
  /// @return successes that were not written since the last call.
  std::uint64_t takeSkipped();

 private:
  std::uint32_t full_per_second_;
  std::uint32_t sample_one_in_;
  Instant window_start_{};
  std::uint32_t in_window_ = 0;
  std::uint64_t skipped_ = 0;
};

}  // namespace linenpier::logging
