#pragma once

/** @file
 * When an owner appends finished items to a job's results. Pure.
 *
 * A trainer can use its step only once enough groups are whole, and it reads again and again until
 * then. A read that finds nothing new waits at the daemon and hears of the step's end at once; one
 * that was answered with a part comes again later. So results are gathered until the step is whole,
 * up to what one append can carry: what is left at the end is then listed by a single one.
 */

#include "common/time.h"

namespace linenpier::batch {

class listing_schedule {
 public:
  /** @param gather longest time for which a finished item is held back once results are due. */
  listing_schedule(Instant begun, Duration gather) : appended_at_(begun), gather_(gather) {}

  /** Results are due at this time: what is finished then is appended then. */
  void setDue(Instant due_at) { this->due_at_ = due_at; }
  void onAppended(Instant now) { this->appended_at_ = now; }

  /** @param at_once readers wait for what is finished, or it fills an append.
   * @return when to append what is finished; not before `now`.
   */
  Instant appendAt(Instant now, bool at_once) const;

 private:
  Instant appended_at_;
  Instant due_at_{};
  Duration gather_;
};

}  // namespace linenpier::batch
