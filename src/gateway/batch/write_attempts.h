#pragma once

/** @file
 * Outcome of a conditional write that was attempted several times.
 */

#include "gateway/batch/job_store.h"

namespace linenpier::batch {

/** Folds the outcomes of all attempts of one write.
 *
 * Invariant: the write counts as not committed only if no attempt may be committed, now or later.
 * An attempt without a response may be committed after the store has refused the attempts that
 * followed it. It is ruled out only by an attempt under another fence, since the row then has
 * another revision than the earlier attempt requires.
 */
class write_attempts {
 public:
  /** Adds an attempt that has ended. @return the outcome of the write so far. */
  FencedWriteOutcome add(Revision fence, FencedWriteOutcome outcome);
  /** @return whether an attempt is or may still be committed. */
  bool mayBeCommitted() const { return this->may_be_committed_; }
  /** @return the number of attempts. */
  int count() const { return this->count_; }

 private:
  Revision fence_ = 0;  ///< Fence of the last attempt.
  bool may_be_committed_ = false;
  int count_ = 0;
};

}  // namespace linenpier::batch
