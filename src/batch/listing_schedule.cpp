#include "batch/listing_schedule.h"

#include <algorithm>

namespace linenpier::batch {

Instant listing_schedule::appendAt(Instant now, bool at_once) const {
  if (at_once) return now;
  const bool due_is_ahead = this->appended_at_ < this->due_at_;
  const Instant at = due_is_ahead ? this->due_at_ : this->appended_at_ + this->gather_;
  return std::max(now, at);
}

}  // namespace linenpier::batch
