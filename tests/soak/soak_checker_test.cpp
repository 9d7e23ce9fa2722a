#include "soak/soak_checker.h"

#include <criterion/criterion.h>

using linenpier::soak::soak_checker;

namespace {

constexpr int kEvents = 1;

soak_checker checkerOfJob() {
  soak_checker made(kEvents);
  made.onJobSent("j", {"a"});
  return made;
}

}  // namespace

// Guards against a check that misses a false refusal of a job that is submitted only once.
Test(soak_checker, a_job_whose_only_attempt_was_refused_must_not_run) {
  soak_checker checker = checkerOfJob();
  checker.onJobAttempt("j");
  checker.onJobAttemptRefused("j");
  checker.onRun("a", 1);
  checker.finish();
  cr_assert_eq(checker.violations().size(), 1);
  cr_assert(checker.violations().front().starts_with("honest_refusal"));
}

// Guards against a check that counts only the last attempt of several.
Test(soak_checker, a_job_must_not_run_only_if_all_attempts_were_refused) {
  for (const bool unanswered_first : {true, false}) {
    soak_checker checker = checkerOfJob();
    checker.onJobAttempt("j");
    if (!unanswered_first) checker.onJobAttemptRefused("j");
    checker.onJobAttempt("j");
    if (unanswered_first) checker.onJobAttemptRefused("j");
    checker.onRun("a", 1);
    checker.finish();
    cr_assert(checker.violations().empty());
  }
}

// Guards against a violation reported for a job whose attempt is still open at the end.
Test(soak_checker, a_job_with_an_open_attempt_may_run) {
  soak_checker checker = checkerOfJob();
  checker.onJobAttempt("j");
  checker.onRun("a", 1);
  checker.finish();
  cr_assert(checker.violations().empty());
}

// Guards against a check that forgives a refused request because the client repeated it.
Test(soak_checker, a_request_that_was_refused_twice_must_not_run) {
  soak_checker checker(kEvents);
  for (int i = 0; i < 2; ++i) {
    checker.onSent("r", true);
    checker.onResponse("r", 503, "", "");
  }
  checker.onRun("r", 1);
  checker.finish();
  cr_assert_eq(checker.violations().size(), 1);
  cr_assert(checker.violations().front().starts_with("honest_refusal"));
}

// Guards against a check that takes a repetition for a run of the refused attempt.
Test(soak_checker, a_request_that_was_refused_and_then_served_runs_once) {
  soak_checker checker(kEvents);
  checker.onSent("r", true);
  checker.onResponse("r", 503, "", "");
  checker.onSent("r", true);
  checker.onRun("r", 1);
  checker.onResponse("r", 200, "s-r", "answer to r");
  checker.finish();
  cr_assert(checker.violations().empty());
  checker.onRun("r", 1);
  checker.finish();
  cr_assert_eq(checker.violations().size(), 1);
  cr_assert(checker.violations().front().starts_with("once"));
}

// Guards against a check that overlooks a request that a stop cuts off, or that blames a gateway
// for a request that it never sent to an engine.
Test(soak_checker, a_request_that_ran_must_get_a_response) {
  soak_checker checker(kEvents);
  checker.onSent("r", true);
  checker.onConnectionEnded("r", 0);
  checker.finish();
  cr_assert(checker.violations().empty());
  checker.onRun("r", 1);
  checker.finish();
  cr_assert_eq(checker.violations().size(), 1);
  cr_assert(checker.violations().front().starts_with("responds"));
}
