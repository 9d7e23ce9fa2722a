#include "gateway/batch/unresolved_jobs.h"

#include <algorithm>

namespace linenpier::batch {

namespace {
/// Time for which an unknown outcome is remembered. The store executes late writes within seconds.
constexpr Duration kUnknownRetention = std::chrono::seconds(120);
}  // namespace

void unresolved_jobs::onWriteEnded(Instant now, const JobId& id, bool known) {
  entry& job = this->jobs_[id];
  --job.writes_in_progress;
  if (!known) job.unknown_until = now + kUnknownRetention;
  this->removeExpired(now);
}

bool unresolved_jobs::contains(Instant now, const JobId& id) const {
  const auto at = this->jobs_.find(id);
  if (at == this->jobs_.end()) return false;
  return at->second.writes_in_progress > 0 || now < at->second.unknown_until;
}

void unresolved_jobs::removeExpired(Instant now) {
  std::erase_if(this->jobs_, [now](const auto& each) {
    return each.second.writes_in_progress == 0 && now >= each.second.unknown_until;
  });
}

}  // namespace linenpier::batch
