#pragma once

/** @file
 * When an owner appends finished items to a job's results, and when it publishes them to readers.
 * Pure.
 *
 * Results are appended soon, in the background: that keeps them, and leaves little to write when
 * the step ends. A trainer can use its step only once enough groups are complete, and it reads
 * again and again until then. A read that finds nothing new waits at the daemon and is answered at
 * the step's end; one that was answered with a part comes again later. So results are published
 * when the step is complete, or are due.
 */

#include "common/time.h"

namespace linenpier::batch {

struct result_timing_options {
  /// Longest time for which an appended result is held back once results are due.
  Duration max_hold_time = std::chrono::seconds(1);
  /// Between two publications: items that end together are shown together.
  Duration min_publish_interval = std::chrono::milliseconds(60);
  /// Between two appends in the background. As far apart as checkpoints would be to keep the same.
  Duration append_interval = std::chrono::milliseconds(400);

  bool operator==(const result_timing_options&) const = default;
};

class result_schedule {
 public:
  result_schedule(Instant begun, result_timing_options options)
      : published_at_(begun), appended_at_(begun), options_(options) {}

  /** Results are due at this time: what is finished then is published then. */
  void setDue(Instant due_at) { this->due_at_ = due_at; }
  void onAppended(Instant now) { this->appended_at_ = now; }
  void onPublished(Instant now) { this->published_at_ = now; }

  /** @param urgent readers wait for what is finished.
   * @return when to publish what is finished; not before `now`.
   */
  Instant publishAt(Instant now, bool urgent) const;

  /** @param full what is finished fills an append.
   * @return when to append what is finished; not before `now`.
   */
  Instant appendAt(Instant now, bool full) const;

 private:
  Instant published_at_;
  Instant appended_at_;
  Instant due_at_{};
  result_timing_options options_;
};

}  // namespace linenpier::batch
