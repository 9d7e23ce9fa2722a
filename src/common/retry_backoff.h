#pragma once

/** @file
 * Computes the delay before a failed call is retried. Does no I/O.
 */

#include <algorithm>

#include "common/random.h"
#include "common/time.h"

namespace linenpier {

/** Exponential backoff with jitter: doubles the delay with each consecutive failure and randomizes
 * it, so that callers that failed together do not retry together.
 */
class retry_backoff {
 public:
  retry_backoff(Duration min_delay, Duration max_delay, std::uint64_t seed)
      : min_delay_(min_delay), max_delay_(max_delay), delay_(min_delay), random_(seed) {}

  void onSuccess() { this->delay_ = this->min_delay_; }

  /// @return the delay before the next attempt: 0.5 to 1.5 times the current step.
  Duration onFailure() {
    const Duration step = this->delay_;
    this->delay_ = std::min(this->delay_ * 2, this->max_delay_);
    const auto fraction = static_cast<std::int64_t>(this->random_.below(kSteps));
    return step / 2 + step * fraction / static_cast<std::int64_t>(kSteps);
  }

 private:
  static constexpr std::uint64_t kSteps = 1000;

  Duration min_delay_;
  Duration max_delay_;
  Duration delay_;
  Random random_;
};

}  // namespace linenpier
