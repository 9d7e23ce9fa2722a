#include "batch/listing_schedule.h"

#include <algorithm>

namespace linenpier::batch {

Instant listing_schedule::appendAt(Instant now, bool urgent) const {
  if (urgent) return now;
  Instant at = this->appended_at_ + this->gather_;
  const bool due_is_ahead = this->appended_at_ < this->due_at_;
  if (due_is_ahead) at = std::min(at, this->due_at_);
  return std::max(now, at);
}

}  // namespace linenpier::batch
