#pragma once

/** @file
 * Decides when an owner appends finished items to a job's results, and when it publishes them to
 * readers. Pure.
 *
 * Results are appended soon, in the background, so that they are durable and little is left to
 * write when the step ends. They are published only when the step is complete or due. A read waits
 * while there are no new results, and is answered as soon as some are published. A trainer that
 * gets only part of the results pauses before it reads again, so publishing a part early would
 * delay the rest.
 */

#include "common/time.h"

namespace linenpier::batch {

struct result_timing_options {
  /// Maximum time for which an appended result stays unpublished once results are due.
  Duration max_hold_time = std::chrono::seconds(1);
  /// Minimum time between publications, so that items that end together are published together.
  Duration min_publish_interval = std::chrono::milliseconds(60);
  /// Minimum time between appends in the background.
  Duration append_interval = std::chrono::milliseconds(400);

  bool operator==(const result_timing_options&) const = default;
};

class result_schedule {
 public:
  result_schedule(Instant start_time, result_timing_options options)
      : published_at_(start_time), appended_at_(start_time), options_(options) {}

  /** Sets the time at which available results are published in any case. */
  void setDue(Instant due_at) { this->due_at_ = due_at; }
  void onAppended(Instant now) { this->appended_at_ = now; }
  void onPublished(Instant now) { this->published_at_ = now; }

  /** @param urgent whether readers wait for the finished results.
   * @return when to publish the finished results; not before `now`.
   */
  Instant publishAt(Instant now, bool urgent) const;

  /** @param full whether the finished results reach the limits of an append.
   * @return when to append the finished results; not before `now`.
   */
  Instant appendAt(Instant now, bool full) const;

 private:
  Instant published_at_;
  Instant appended_at_;
  Instant due_at_{};
  result_timing_options options_;
};

}  // namespace linenpier::batch
