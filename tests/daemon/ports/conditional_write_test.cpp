#include "daemon/ports/conditional_write.h"

#include <criterion/criterion.h>

using namespace linenpier;
using table::ConditionalWrite;
using table::WriteAction;
using table::WriteOutcome;

namespace {
const AttemptId kOwn("attempt-own");
}

Test(conditional_write, a_lost_answer_is_settled_by_the_own_attempt_in_the_row) {
  ConditionalWrite write(kOwn, 3);
  cr_assert(write.onFailure(CallFailure::kAnswerLost) == WriteAction::kTransact);
  const table::Row own{"key", 12, R"({"attempt":"attempt-own"})"};
  cr_assert(write.onAnswer({false, 0, {own}}) == WriteAction::kDone);
  cr_assert(write.outcome() == WriteOutcome::kCommitted);
  cr_assert_eq(write.revision(), 12U);
}

Test(conditional_write, another_attempt_in_the_row_is_a_conflict) {
  ConditionalWrite write(kOwn, 3);
  write.onFailure(CallFailure::kAnswerLost);
  write.onAnswer({false, 0, {{"key", 12, R"({"attempt":"attempt-other"})"}}});
  cr_assert(write.outcome() == WriteOutcome::kConflict);
}

Test(conditional_write, giving_up_after_a_lost_answer_is_unknown) {
  ConditionalWrite write(kOwn, 2);
  cr_assert(write.onFailure(CallFailure::kAnswerLost) == WriteAction::kTransact);
  cr_assert(write.onFailure(CallFailure::kUnreachable) == WriteAction::kDone);
  cr_assert(write.outcome() == WriteOutcome::kUnknown);
}

Test(conditional_write, giving_up_without_any_processed_try_is_not_written) {
  ConditionalWrite write(kOwn, 2);
  write.onFailure(CallFailure::kRateLimited);
  cr_assert(write.onFailure(CallFailure::kUnavailable) == WriteAction::kDone);
  cr_assert(write.outcome() == WriteOutcome::kNotWritten);
}
