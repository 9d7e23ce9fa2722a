#include "daemon/intent/intent_row.h"

#include <criterion/criterion.h>

using namespace linenpier;
using intent::decideIntent;
using intent::IntentRow;
using intent::IntentState;
using intent::IntentVerdict;
using table::WriteOutcome;

namespace {

table::WriteResult conflictWith(IntentState state, const std::string& hash) {
  const IntentRow row{state, AttemptId("other"), hash, "the answer"};
  return {WriteOutcome::kConflict, 0, {{"intent/t/k", 8, toJson(row)}}};
}

}  // namespace

Test(intent_row, only_a_committed_intent_gives_the_right_to_send) {
  cr_assert(decideIntent({WriteOutcome::kCommitted, 4, {}}, "h").verdict == IntentVerdict::kSend);
  cr_assert(decideIntent({WriteOutcome::kNotWritten, 0, {}}, "h").verdict ==
            IntentVerdict::kNotRun);
  const auto unknown = decideIntent({WriteOutcome::kUnknown, 0, {}}, "h");
  cr_assert(unknown.verdict == IntentVerdict::kNotRun);
  cr_assert(unknown.must_abandon);
}

Test(intent_row, another_attempts_row_decides_by_its_state) {
  const auto done = decideIntent(conflictWith(IntentState::kDone, "h"), "h");
  cr_assert(done.verdict == IntentVerdict::kReplay);
  cr_assert(done.answer == "the answer");
  const auto abandoned = decideIntent(conflictWith(IntentState::kAbandoned, "h"), "h");
  cr_assert(abandoned.verdict == IntentVerdict::kTakeOver);
  cr_assert_eq(abandoned.revision, 8U);
  cr_assert(decideIntent(conflictWith(IntentState::kDispatched, "h"), "h").verdict ==
            IntentVerdict::kElsewhere);
}

Test(intent_row, a_key_of_a_different_request_is_told_apart) {
  cr_assert(decideIntent(conflictWith(IntentState::kDone, "h1"), "h2").verdict ==
            IntentVerdict::kKeyReused);
}
