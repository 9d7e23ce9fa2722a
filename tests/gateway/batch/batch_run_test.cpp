#include "gateway/batch/batch_run.h"

#include <criterion/criterion.h>

using namespace linenpier;
using batch::batch_item;
using batch::batch_job;
using batch::batch_run;
using batch::EventVerdict;
using batch::ItemState;
using batch::ResultState;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};
const EngineId kEngine("e");

batch_item item(const std::string& id, const std::string& group, std::uint64_t hint) {
  batch_item made;
  made.id = ItemId(id);
  made.group = GroupId(group);
  made.length_hint = hint;
  return made;
}

batch_job job() {
  batch_job made;
  made.id = JobId("j");
  made.minimum_version = 3;
  made.items = {item("a", "g1", 10), item("b", "g1", 40), item("c", "g2", 90), item("d", "g2", 5)};
  return made;
}

batch::run_rules rules() {
  batch::run_rules made;
  made.max_failures = 2;
  made.terminate_at = kStart + std::chrono::seconds(30);
  return made;
}

}  // namespace

Test(batch_run, the_longest_items_begin_first) {
  batch_run run(job(), rules());
  cr_assert_eq(*run.nextToStart(kStart), 2U);
}

Test(batch_run, a_text_is_joined_event_by_event_with_the_versions_that_made_it) {
  batch_run run(job(), rules());
  run.onStarted(kStart, 0, kEngine);
  cr_assert_eq(run.onEvent(kStart, 0, 1, "one", 3), EventVerdict::kAccepted);
  run.onInterrupted(kStart, 0, Duration::zero());
  cr_assert_eq(run.progress(0).state, ItemState::kWaiting);
  run.onStarted(kStart, 0, kEngine);
  cr_assert_eq(run.onEvent(kStart, 0, 1, "one", 4), EventVerdict::kRejected, "not twice");
  cr_assert_eq(run.onEvent(kStart, 0, 3, "three", 4), EventVerdict::kRejected, "no gap");
  cr_assert_eq(run.onEvent(kStart, 0, 2, "two", 4), EventVerdict::kAccepted);
  run.onCompleted(kStart, 0);
  const batch::batch_result result = run.result(0);
  cr_assert_eq(result.text, "one\ntwo");
  cr_assert_eq(result.versions.size(), 2U);
  cr_assert_eq(result.state, ResultState::kCompleted);
}

Test(batch_run, events_of_too_old_weights_are_not_taken) {
  batch_run run(job(), rules());
  run.onStarted(kStart, 0, kEngine);
  cr_assert_eq(run.onEvent(kStart, 0, 1, "old", 2), EventVerdict::kRejected);
  cr_assert_eq(run.progress(0).last_event, 0U);
}

Test(batch_run, a_single_version_route_never_joins_versions) {
  batch::run_rules single = rules();
  single.single_version = true;
  batch_run run(job(), single);
  run.onStarted(kStart, 0, kEngine);
  run.onEvent(kStart, 0, 1, "one", 3);
  cr_assert_eq(run.onEvent(kStart, 0, 2, "two", 4), EventVerdict::kRejected);
  run.discardText(0);
  run.onInterrupted(kStart, 0, Duration::zero());
  run.onStarted(kStart, 0, kEngine);
  cr_assert_eq(run.onEvent(kStart, 0, 1, "one", 4), EventVerdict::kAccepted);
}

Test(batch_run, an_item_that_always_fails_is_given_up_after_the_attempts_allowed) {
  batch_run run(job(), rules());
  run.onStarted(kStart, 0, kEngine);
  run.onFailed(kStart, 0);
  cr_assert_eq(run.progress(0).state, ItemState::kWaiting);
  run.onStarted(kStart, 0, kEngine);
  run.onFailed(kStart, 0);
  cr_assert_eq(run.result(0).state, ResultState::kTerminated);
  run.onStarted(kStart, 1, kEngine);
  run.onRejected(1);
  cr_assert_eq(run.result(1).state, ResultState::kTerminated, "a rejected item at once");
}

Test(batch_run, what_is_too_late_is_given_up_only_then) {
  batch_run run(job(), rules());
  run.onStarted(kStart, 0, kEngine);
  cr_assert_not(run.terminateExpired(kStart + std::chrono::seconds(29)));
  cr_assert(run.terminateExpired(kStart + std::chrono::seconds(30)));
  cr_assert_eq(run.finished().size(), 4U);
  cr_assert(run.result(0).text.empty());
}

Test(batch_run, a_checkpoint_is_taken_if_it_fits) {
  batch_run run(job(), rules());
  cr_assert_not(run.onCheckpoint(0, {0, 2, {3}, "one\ntwo"}));
  run.onCheckpoint(1, {1, 2, {2}, "too\nold"});
  cr_assert_eq(run.progress(0).last_event, 2U);
  cr_assert_eq(run.progress(1).last_event, 0U);
  run.onStarted(kStart, 0, kEngine);
  run.onEvent(kStart, 0, 3, "three", 4);
  run.onCheckpoint(0, {0, 1, {3}, "one"});
  cr_assert_eq(run.progress(0).last_event, 3U, "never back");
}

Test(batch_run, listed_items_stay_listed) {
  batch_run run(job(), rules());
  run.onAlreadyAppended(2);
  cr_assert_eq(*run.nextToStart(kStart), 1U);
  run.onStarted(kStart, 1, kEngine);
  run.onEvent(kStart, 1, 1, "x", 3);
  run.onCompleted(kStart, 1);
  run.onAppended(1);
  cr_assert(run.progress(1).state == batch::ItemState::kAppended);
  cr_assert(run.progress(2).state == batch::ItemState::kAppended);
  run.terminateUnfinished();
  cr_assert_eq(run.finished().size(), 2U, "listed items are not given up");
}

namespace {

/// An earlier job from which the group `g2` comes again; `text` is kept of its item "c".
batch::partial_results leftBehind(const std::set<WeightVersion>& versions) {
  batch_job earlier;
  earlier.items = {item("c", "g2", 90), item("d", "g2", 5)};
  batch::partial_results results;
  results.addJob(earlier, {{0, 2, versions, "one\ntwo"}});
  return results;
}

void finishItem(batch_run& run, batch::ItemIndex item) {
  run.onStarted(kStart, item, kEngine);
  run.onEvent(kStart, item, 1, "all", 3);
  run.onCompleted(kStart, item);
}

}  // namespace

Test(batch_run, a_group_that_comes_again_begins_first_and_is_waited_for) {
  batch_job one_group = job();
  one_group.desired_groups = 1;
  one_group.items[0].length_hint = 200;
  batch_run run(one_group, rules());
  cr_assert_eq(*run.nextToStart(kStart), 0U, "the longest item, while nothing is known");
  run.onPartialResults(leftBehind({2}));
  cr_assert_eq(run.reusedGroups(), 1U);
  cr_assert_eq(*run.nextToStart(kStart), 2U, "the group that comes again");
  finishItem(run, 0);
  finishItem(run, 1);
  cr_assert_not(run.stepComplete(), "one group is whole, but not the one that came again");
  finishItem(run, 2);
  finishItem(run, 3);
  cr_assert(run.stepComplete());
}

Test(batch_run, text_of_a_group_that_comes_again_is_gone_on_with_if_its_versions_fit) {
  batch_run fitting(job(), rules());
  cr_assert(fitting.onPartialResults(leftBehind({3, 4})).empty());
  cr_assert_eq(fitting.progress(2).last_event, 2U);
  cr_assert_eq(fitting.progress(2).text, "one\ntwo");
  batch_run too_old(job(), rules());
  too_old.onPartialResults(leftBehind({2, 3}));
  cr_assert_eq(too_old.progress(2).last_event, 0U);
  cr_assert_eq(too_old.reusedGroups(), 1U, "it is waited for all the same");
}

Test(batch_run, an_attempt_that_has_less_than_what_was_kept_is_of_no_use) {
  batch_run run(job(), rules());
  run.onStarted(kStart, 2, kEngine);
  run.onEvent(kStart, 2, 1, "one", 4);
  const std::vector<batch::ItemIndex> obsolete = run.onPartialResults(leftBehind({3}));
  cr_assert_eq(obsolete.size(), 1U);
  cr_assert_eq(run.progress(2).text, "one\ntwo");
  cr_assert_eq(run.onEvent(kStart, 2, 2, "other", 4), EventVerdict::kRejected);
  run.onInterrupted(kStart, 2, Duration::zero());
  cr_assert_eq(run.progress(2).state, ItemState::kWaiting);
}

Test(batch_run, a_finished_text_that_was_kept_is_not_made_again) {
  batch_run run(job(), rules());
  run.onCheckpoint(1, {1, 2, {3}, "one\ntwo", true});
  cr_assert_eq(run.finished().size(), 1U);
  cr_assert_eq(run.result(1).text, "one\ntwo");
  cr_assert_eq(run.waiting(), 3U);
}

Test(batch_run, results_are_urgent_once_the_step_is_whole_or_an_item_is_given_up) {
  batch_job one_group = job();
  one_group.desired_groups = 1;
  batch_run run(one_group, rules());
  cr_assert_not(run.shouldPublishNow(), "nothing is finished");
  finishItem(run, 0);
  cr_assert_not(run.shouldPublishNow());
  finishItem(run, 1);
  cr_assert(run.shouldPublishNow(), "the group is whole");
  batch_run given_up(one_group, rules());
  given_up.onStarted(kStart, 3, kEngine);
  given_up.onRejected(3);
  cr_assert(given_up.shouldPublishNow());
  batch_run without_step(job(), rules());
  finishItem(without_step, 0);
  cr_assert(without_step.shouldPublishNow(), "nobody waits for groups");
}

Test(batch_run, a_kept_text_of_one_version_fits_a_single_version_route) {
  batch::run_rules single = rules();
  single.single_version = true;
  batch_run run(job(), single);
  run.onCheckpoint(0, {0, 2, {3}, "one\ntwo"});
  run.onCheckpoint(1, {1, 2, {3, 4}, "of\ntwo"});
  cr_assert_eq(run.progress(0).last_event, 2U);
  cr_assert_eq(run.progress(1).last_event, 0U);
}

namespace {

batch_job scoredJob() {
  batch_job made = job();
  for (batch_item& each : made.items) {
    each.scorer = batch::reward_request{"r-" + each.id.str(), "h", "/reward/", ""};
  }
  return made;
}

/// A run of `scoredJob` whose item 0 has its whole text.
batch_run runWithWholeText() {
  batch_run run(scoredJob(), rules());
  run.onStarted(kStart, 0, kEngine);
  run.onEvent(kStart, 0, 1, "one", 3);
  run.onCompleted(kStart, 0);
  return run;
}

}  // namespace

Test(batch_run, a_whole_text_is_finished_only_with_its_score) {
  batch_run run = runWithWholeText();
  cr_assert(run.finished().empty());
  cr_assert(run.progress(0).state == ItemState::kTextComplete);
  cr_assert_eq(*run.nextToScore(kStart), 0U);
  run.onScoringStarted(0);
  cr_assert_not(run.nextToScore(kStart).has_value());
  run.onScored(0, "signature");
  cr_assert_eq(run.finished().size(), 1U);
  cr_assert_eq(run.result(0).score, "signature");
  cr_assert_eq(run.result(0).text, "one");
}

Test(batch_run, scoring_is_given_up_only_after_as_many_failures_as_the_route_allows) {
  batch_run run = runWithWholeText();
  const Duration pause = std::chrono::milliseconds(50);
  run.onScoringStarted(0);
  run.onNotScored(kStart, 0, 0, 3, pause);
  cr_assert_not(run.nextToScore(kStart).has_value(), "not before the pause is over");
  cr_assert_eq(*run.nextToScore(kStart + pause), 0U);
  run.onScoringStarted(0);
  run.onNotScored(kStart, 0, 2, 3, pause);
  cr_assert(run.finished().empty());
  run.onScoringStarted(0);
  run.onNotScored(kStart, 0, 1, 3, pause);
  cr_assert_eq(run.result(0).state, ResultState::kTerminated);
  cr_assert(run.result(0).text.empty());
  cr_assert(run.result(0).score.empty());
}

Test(batch_run, a_score_that_comes_after_the_item_was_given_up_changes_nothing) {
  batch_run run = runWithWholeText();
  run.onScoringStarted(0);
  run.terminateUnfinished();
  run.onScored(0, "late");
  cr_assert_eq(run.result(0).state, ResultState::kTerminated);
  cr_assert(run.result(0).score.empty());
}

Test(batch_run, a_kept_whole_text_is_not_made_again_and_a_kept_score_not_asked_again) {
  batch_run run(scoredJob(), rules());
  run.onCheckpoint(0, {0, 2, {3}, "one\ntwo", true});
  cr_assert(run.progress(0).state == ItemState::kTextComplete);
  cr_assert_eq(*run.nextToScore(kStart), 0U);
  run.onCheckpoint(1, {1, 1, {3}, "one", true, batch::reward_score{"r-b", "kept"}});
  cr_assert(run.progress(1).state == ItemState::kFinished);
  cr_assert_eq(run.result(1).score, "kept");
  run.onCheckpoint(2, {2, 1, {3}, "one", true, batch::reward_score{"other", "kept"}});
  cr_assert(run.progress(2).state == ItemState::kTextComplete, "another request earned that score");
  run.onCheckpoint(3, {3, 1, {2}, "old", true, batch::reward_score{"r-d", "kept"}});
  cr_assert(run.progress(3).state == ItemState::kWaiting, "its text is too old");
  cr_assert(run.progress(3).score.empty());
}

Test(batch_run, a_text_that_lacks_its_score_keeps_its_group_open) {
  batch_job one_group = scoredJob();
  one_group.items.resize(1);
  one_group.desired_groups = 1;
  batch_run run(one_group, rules());
  run.onStarted(kStart, 0, kEngine);
  run.onEvent(kStart, 0, 1, "one", 3);
  run.onCompleted(kStart, 0);
  cr_assert_not(run.stepComplete());
  run.onScoringStarted(0);
  run.onScored(0, "signature");
  cr_assert(run.stepComplete());
}
