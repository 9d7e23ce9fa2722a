#include "common/success_sampler.h"

#include <utility>

namespace linenpier::logging {

bool SuccessSampler::admit(Instant now) {
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    in_window_ = 0;
  }
  ++in_window_;
  if (in_window_ <= full_per_second_ || in_window_ % sample_one_in_ == 0) return true;
  ++skipped_;
  return false;
}

std::uint64_t SuccessSampler::takeSkipped() {
  return std::exchange(skipped_, 0);
}

}  // namespace linenpier::logging
