#pragma once

/** @file
 * When an owner appends finished items to a job's results, and when it releases them to readers.
 * Pure.
 *
 * Results are appended soon, in the background: that keeps them, and leaves little to write when
 * the step ends. A trainer can use its step only once enough groups are whole, and it reads again
 * and again until then. A read that finds nothing new waits at the daemon and hears of the step's
 * end at once; one that was answered with a part comes again later. So results are released when
 * the step is whole, or are due.
 */

#include "common/time.h"

namespace linenpier::batch {

struct listing_times {
  /// Longest time for which an appended result is held back once results are due.
  Duration gather = std::chrono::seconds(1);
  /// Between two releases: items that end together are told together.
  Duration release_gap = std::chrono::milliseconds(60);
  /// Between two appends in the background. As far apart as checkpoints would be to keep the same.
  Duration append_gap = std::chrono::milliseconds(400);

  bool operator==(const listing_times&) const = default;
};

class listing_schedule {
 public:
  listing_schedule(Instant begun, listing_times times)
      : released_at_(begun), appended_at_(begun), times_(times) {}

  /** Results are due at this time: what is finished then is released then. */
  void setDue(Instant due_at) { this->due_at_ = due_at; }
  void onAppended(Instant now) { this->appended_at_ = now; }
  void onReleased(Instant now) { this->released_at_ = now; }

  /** @param urgent readers wait for what is finished.
   * @return when to release what is finished; not before `now`.
   */
  Instant releaseAt(Instant now, bool urgent) const;

  /** @param full what is finished fills an append.
   * @return when to append what is finished; not before `now`.
   */
  Instant appendAt(Instant now, bool full) const;

 private:
  Instant released_at_;
  Instant appended_at_;
  Instant due_at_{};
  listing_times times_;
};

}  // namespace linenpier::batch
