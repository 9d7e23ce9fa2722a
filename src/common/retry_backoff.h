#pragma once

/** @file
 * How long to wait before the next try of a call that fails again and again. Pure.
 */

#include <algorithm>

#include "common/random.h"
#include "common/time.h"

namespace linenpier {

/** Doubles the pause with each failure in a row, and spreads it, so that many callers that failed
 * at the same moment do not come back at the same moment.
 */
class retry_backoff {
 public:
  retry_backoff(Duration shortest, Duration longest, std::uint64_t seed)
      : shortest_(shortest), longest_(longest), pause_(shortest), random_(seed) {}

  void onSuccess() { this->pause_ = this->shortest_; }

  /// @return the pause before the next try: between half of and one and a half times the step.
  Duration onFailure() {
    const Duration step = this->pause_;
    this->pause_ = std::min(this->pause_ * 2, this->longest_);
    const auto part = static_cast<std::int64_t>(this->random_.below(kSteps));
    return step / 2 + step * part / static_cast<std::int64_t>(kSteps);
  }

 private:
  static constexpr std::uint64_t kSteps = 1000;

  Duration shortest_;
  Duration longest_;
  Duration pause_;
  Random random_;
};

}  // namespace linenpier
