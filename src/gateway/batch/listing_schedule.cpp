#include "gateway/batch/listing_schedule.h"

#include <algorithm>

namespace linenpier::batch {

Instant listing_schedule::releaseAt(Instant now, bool urgent) const {
  if (urgent) return std::max(now, this->released_at_ + this->times_.release_gap);
  const bool due_is_ahead = this->released_at_ < this->due_at_;
  const Instant at = due_is_ahead ? this->due_at_ : this->released_at_ + this->times_.gather;
  return std::max(now, at);
}

Instant listing_schedule::appendAt(Instant now, bool full) const {
  if (full) return now;
  return std::max(now, this->appended_at_ + this->times_.append_gap);
}

}  // namespace linenpier::batch
