#pragma once

/** @file
 * Jobs whose rows this daemon may have written without a response of the store.
 */

#include <map>

#include "common/ids.h"
#include "common/time.h"

namespace linenpier::batch {

/** Remembers which submitted jobs may still be accepted by an earlier write, so that a later
 * submission of the same job is not refused. Invariant: a job is contained from before its row is
 * sent to the store until the outcome is known, or for some time if it stays unknown. The class
 * must be used from the event loop thread only.
 */
class unresolved_jobs {
 public:
  /** A write of the job's row is about to be sent. */
  void onWriteStarted(const JobId& id) { ++this->jobs_[id].writes_in_progress; }
  /** @param known whether the job's row certainly was written, or certainly will not be. */
  void onWriteEnded(Instant now, const JobId& id, bool known);
  /** @return whether a write of the job's row may still be executed. */
  bool contains(Instant now, const JobId& id) const;

 private:
  struct entry {
    int writes_in_progress = 0;
    Instant unknown_until{};  ///< End of the time for which an unknown outcome is remembered.
  };
  void removeExpired(Instant now);

  std::map<JobId, entry> jobs_;
};

}  // namespace linenpier::batch
