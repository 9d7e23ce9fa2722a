#include "gateway/batch/write_attempts.h"

namespace linenpier::batch {

FencedWriteOutcome write_attempts::add(Revision fence, FencedWriteOutcome outcome) {
  if (fence != this->fence_) this->may_be_committed_ = false;
  this->fence_ = fence;
  ++this->count_;
  const bool may_be_committed =
      outcome == FencedWriteOutcome::kCommitted || outcome == FencedWriteOutcome::kUnknown;
  if (may_be_committed) this->may_be_committed_ = true;
  const bool refused = outcome == FencedWriteOutcome::kNotCommitted;
  return refused && this->may_be_committed_ ? FencedWriteOutcome::kUnknown : outcome;
}

}  // namespace linenpier::batch
