#pragma once

/** @file
 * When an owner appends finished items to a job's results. Pure.
 *
 * A trainer can use its step only once enough groups are whole, and it reads again and again until
 * then. Results are gathered meanwhile: one append a while costs less than one an item, and the
 * reader that finds nothing new waits at the daemon, where it hears of the step's end at once.
 */

#include "common/time.h"

namespace linenpier::batch {

class listing_schedule {
 public:
  /** @param gather longest time for which a finished item is held back. */
  listing_schedule(Instant begun, Duration gather) : appended_at_(begun), gather_(gather) {}

  /** Results are due at this time: what is finished then is appended then. */
  void setDue(Instant due_at) { this->due_at_ = due_at; }
  void onAppended(Instant now) { this->appended_at_ = now; }

  /** @param urgent readers wait for what is finished.
   * @return when to append what is finished; not before `now`.
   */
  Instant appendAt(Instant now, bool urgent) const;

 private:
  Instant appended_at_;
  Instant due_at_{};
  Duration gather_;
};

}  // namespace linenpier::batch
