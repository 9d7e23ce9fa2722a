#include "gateway/forward/attempt_policy.h"

#include <criterion/criterion.h>

using namespace linenpier;
using forward::attempt_policy;
using forward::AttemptOutcome;
using forward::LocalReply;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};
constexpr Instant kDeadline = kStart + std::chrono::seconds(1);

routing::Route route(routing::RequestKind kind, int attempts) {
  routing::Route made;
  made.kind = kind;
  made.max_attempts = attempts;
  made.target_latency = std::chrono::milliseconds(100);
  return made;
}

}  // namespace

Test(attempt_policy, a_request_that_may_run_once_is_not_repeated_after_it_may_have_run) {
  attempt_policy policy(route(routing::RequestKind::kNonIdempotent, 3), kDeadline);
  policy.onStarted(kStart);
  policy.onEnded(AttemptOutcome::kBroken);
  cr_assert_not(policy.canStart(kStart));
  cr_assert_eq(policy.localReply(kStart), LocalReply::kMayHaveRun, "never a promise");
}

Test(attempt_policy, it_is_repeated_after_proof_that_it_did_not_run) {
  attempt_policy policy(route(routing::RequestKind::kNonIdempotent, 3), kDeadline);
  policy.onStarted(kStart);
  policy.onEnded(AttemptOutcome::kNotExecuted);
  cr_assert(policy.canStart(kStart));
  policy.onStarted(kStart);
  policy.onEnded(AttemptOutcome::kUnreachable);
  cr_assert(policy.canStart(kStart));
  cr_assert_eq(policy.localReply(kStart), LocalReply::kNotRun);
}

Test(attempt_policy, no_more_engines_than_the_route_allows) {
  attempt_policy policy(route(routing::RequestKind::kIdempotent, 2), kDeadline);
  for (int i = 0; i < 2; ++i) {
    cr_assert(policy.canStart(kStart));
    policy.onStarted(kStart);
    policy.onEnded(AttemptOutcome::kBroken);
  }
  cr_assert_not(policy.canStart(kStart));
}

Test(attempt_policy, engines_that_cannot_be_reached_do_not_use_up_attempts_but_end) {
  attempt_policy policy(route(routing::RequestKind::kIdempotent, 1), kDeadline);
  int tries = 0;
  while (policy.canStart(kStart) && tries < 100) {
    policy.onStarted(kStart);
    policy.onEnded(AttemptOutcome::kUnreachable);
    ++tries;
  }
  cr_assert(tries > 1 && tries < 10, "%d tries", tries);
}

Test(attempt_policy, a_second_engine_is_asked_while_there_is_still_time_for_it) {
  attempt_policy policy(route(routing::RequestKind::kIdempotent, 2), kDeadline);
  policy.onStarted(kStart);
  cr_assert_not(policy.canStart(kStart + std::chrono::milliseconds(49)));
  cr_assert(policy.canStart(kStart + std::chrono::milliseconds(50)));
  cr_assert(policy.nextCheck() == kStart + std::chrono::milliseconds(50));
}

Test(attempt_policy, a_running_request_that_may_run_once_is_never_doubled) {
  attempt_policy policy(route(routing::RequestKind::kNonIdempotent, 2), kDeadline);
  policy.onStarted(kStart);
  cr_assert_not(policy.canStart(kStart + std::chrono::milliseconds(500)));
}

Test(attempt_policy, out_of_time_is_told_as_such_only_if_it_may_have_run) {
  attempt_policy sent(route(routing::RequestKind::kIdempotent, 1), kDeadline);
  sent.onStarted(kStart);
  cr_assert_eq(sent.localReply(kDeadline), LocalReply::kDeadlineExceeded);
  const attempt_policy unsent(route(routing::RequestKind::kIdempotent, 1), kDeadline);
  cr_assert_eq(unsent.localReply(kDeadline), LocalReply::kNotRun);
}
