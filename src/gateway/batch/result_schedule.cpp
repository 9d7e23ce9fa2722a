#include "gateway/batch/result_schedule.h"

#include <algorithm>

namespace linenpier::batch {

Instant result_schedule::publishAt(Instant now, bool urgent) const {
  if (urgent) return std::max(now, this->published_at_ + this->options_.min_publish_interval);
  const bool due_is_ahead = this->published_at_ < this->due_at_;
  const Instant at =
      due_is_ahead ? this->due_at_ : this->published_at_ + this->options_.max_hold_time;
  return std::max(now, at);
}

Instant result_schedule::appendAt(Instant now, bool full) const {
  if (full) return now;
  return std::max(now, this->appended_at_ + this->options_.append_interval);
}

}  // namespace linenpier::batch
