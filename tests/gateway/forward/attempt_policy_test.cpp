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

Test(attempt_policy, non_idempotent_request_is_not_retried_if_it_may_have_run) {
  attempt_policy policy(route(routing::RequestKind::kNonIdempotent, 3), kDeadline);
  policy.onStarted(kStart);
  policy.onEnded(AttemptOutcome::kBroken);
  cr_assert_not(policy.canStart(kStart));
  cr_assert_eq(policy.localReply(kStart), LocalReply::kMayHaveRun,
               "must not claim that it did not run");
}

Test(attempt_policy, non_idempotent_request_is_retried_if_it_did_not_run) {
  attempt_policy policy(route(routing::RequestKind::kNonIdempotent, 3), kDeadline);
  policy.onStarted(kStart);
  policy.onEnded(AttemptOutcome::kNotExecuted);
  cr_assert(policy.canStart(kStart));
  policy.onStarted(kStart);
  policy.onEnded(AttemptOutcome::kUnreachable);
  cr_assert(policy.canStart(kStart));
  cr_assert_eq(policy.localReply(kStart), LocalReply::kNotRun);
}

Test(attempt_policy, max_attempts_limits_retries) {
  attempt_policy policy(route(routing::RequestKind::kIdempotent, 2), kDeadline);
  for (int i = 0; i < 2; ++i) {
    cr_assert(policy.canStart(kStart));
    policy.onStarted(kStart);
    policy.onEnded(AttemptOutcome::kBroken);
  }
  cr_assert_not(policy.canStart(kStart));
}

Test(attempt_policy, unreachable_engines_do_not_count_as_attempts_but_are_limited) {
  attempt_policy policy(route(routing::RequestKind::kIdempotent, 1), kDeadline);
  int tries = 0;
  while (policy.canStart(kStart) && tries < 100) {
    policy.onStarted(kStart);
    policy.onEnded(AttemptOutcome::kUnreachable);
    ++tries;
  }
  cr_assert(tries > 1 && tries < 10, "%d tries", tries);
}

Test(attempt_policy, idempotent_request_is_hedged_after_half_the_target_latency) {
  attempt_policy policy(route(routing::RequestKind::kIdempotent, 2), kDeadline);
  policy.onStarted(kStart);
  cr_assert_not(policy.canStart(kStart + std::chrono::milliseconds(49)));
  cr_assert(policy.canStart(kStart + std::chrono::milliseconds(50)));
  cr_assert(policy.nextCheck() == kStart + std::chrono::milliseconds(50));
}

Test(attempt_policy, non_idempotent_request_is_not_hedged) {
  attempt_policy policy(route(routing::RequestKind::kNonIdempotent, 2), kDeadline);
  policy.onStarted(kStart);
  cr_assert_not(policy.canStart(kStart + std::chrono::milliseconds(500)));
}

Test(attempt_policy, deadline_exceeded_is_reported_only_if_the_request_may_have_run) {
  attempt_policy sent(route(routing::RequestKind::kIdempotent, 1), kDeadline);
  sent.onStarted(kStart);
  cr_assert_eq(sent.localReply(kDeadline), LocalReply::kDeadlineExceeded);
  const attempt_policy unsent(route(routing::RequestKind::kIdempotent, 1), kDeadline);
  cr_assert_eq(unsent.localReply(kDeadline), LocalReply::kNotRun);
}
