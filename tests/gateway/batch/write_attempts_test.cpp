#include "gateway/batch/write_attempts.h"

#include <criterion/criterion.h>

using namespace linenpier;
using batch::FencedWriteOutcome;
using batch::write_attempts;

namespace {
constexpr Revision kFence = 7;
}

Test(write_attempts, a_write_that_was_only_refused_is_not_committed) {
  write_attempts attempts;
  cr_assert(attempts.add(kFence, FencedWriteOutcome::kNotCommitted) ==
            FencedWriteOutcome::kNotCommitted);
  cr_assert(!attempts.mayBeCommitted());
}

// Guards against a false refusal: the outcome of the last attempt is taken for that of the write.
Test(write_attempts, a_refusal_after_an_unanswered_attempt_leaves_the_outcome_unknown) {
  write_attempts attempts;
  attempts.add(kFence, FencedWriteOutcome::kUnknown);
  for (int i = 0; i < 2; ++i) {
    cr_assert(attempts.add(kFence, FencedWriteOutcome::kNotCommitted) ==
              FencedWriteOutcome::kUnknown);
  }
  cr_assert(attempts.mayBeCommitted());
  cr_assert_eq(attempts.count(), 3);
}

Test(write_attempts, an_answer_settles_an_unknown_outcome) {
  write_attempts committed;
  committed.add(kFence, FencedWriteOutcome::kUnknown);
  cr_assert(committed.add(kFence, FencedWriteOutcome::kCommitted) ==
            FencedWriteOutcome::kCommitted);
  write_attempts lost;
  lost.add(kFence, FencedWriteOutcome::kUnknown);
  cr_assert(lost.add(kFence, FencedWriteOutcome::kFenceLost) == FencedWriteOutcome::kFenceLost);
  cr_assert(lost.mayBeCommitted(), "the unanswered attempt may be what changed the row");
}

Test(write_attempts, another_fence_rules_out_earlier_attempts) {
  write_attempts attempts;
  attempts.add(kFence, FencedWriteOutcome::kUnknown);
  cr_assert(attempts.add(kFence + 1, FencedWriteOutcome::kNotCommitted) ==
            FencedWriteOutcome::kNotCommitted);
  cr_assert(!attempts.mayBeCommitted());
}
