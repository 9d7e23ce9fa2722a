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

Test(batch_run, the_longest_items_start_first) {
  batch_run run(job(), rules());
  cr_assert_eq(*run.nextToStart(kStart), 2U);
}

Test(batch_run, text_and_versions_are_collected_event_by_event) {
  batch_run run(job(), rules());
  run.onStarted(kStart, 0, kEngine);
  cr_assert_eq(run.onEvent(kStart, 0, 1, "one", 3), EventVerdict::kAccepted);
  run.onInterrupted(kStart, 0, Duration::zero());
  cr_assert_eq(run.progress(0).state, ItemState::kWaiting);
  run.onStarted(kStart, 0, kEngine);
  cr_assert_eq(run.onEvent(kStart, 0, 1, "one", 4), EventVerdict::kRejected, "duplicate event");
  cr_assert_eq(run.onEvent(kStart, 0, 3, "three", 4), EventVerdict::kRejected, "missing event");
  cr_assert_eq(run.onEvent(kStart, 0, 2, "two", 4), EventVerdict::kAccepted);
  run.onCompleted(kStart, 0);
  const batch::batch_result result = run.result(0);
  cr_assert_eq(result.text, "one\ntwo");
  cr_assert_eq(result.versions.size(), 2U);
  cr_assert_eq(result.state, ResultState::kCompleted);
}

Test(batch_run, events_below_the_minimum_version_are_rejected) {
  batch_run run(job(), rules());
  run.onStarted(kStart, 0, kEngine);
  cr_assert_eq(run.onEvent(kStart, 0, 1, "old", 2), EventVerdict::kRejected);
  cr_assert_eq(run.progress(0).last_event, 0U);
}

Test(batch_run, a_single_version_route_never_mixes_versions) {
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

Test(batch_run, an_item_is_terminated_after_the_allowed_number_of_failures) {
  batch_run run(job(), rules());
  run.onStarted(kStart, 0, kEngine);
  run.onFailed(kStart, 0);
  cr_assert_eq(run.progress(0).state, ItemState::kWaiting);
  run.onStarted(kStart, 0, kEngine);
  run.onFailed(kStart, 0);
  cr_assert_eq(run.result(0).state, ResultState::kTerminated);
  run.onStarted(kStart, 1, kEngine);
  run.onRejected(1);
  cr_assert_eq(run.result(1).state, ResultState::kTerminated,
               "a rejected item is terminated at once");
}

Test(batch_run, unfinished_items_are_terminated_only_at_the_deadline) {
  batch_run run(job(), rules());
  run.onStarted(kStart, 0, kEngine);
  cr_assert_not(run.terminateExpired(kStart + std::chrono::seconds(29)));
  cr_assert(run.terminateExpired(kStart + std::chrono::seconds(30)));
  cr_assert_eq(run.finished().size(), 4U);
  cr_assert(run.result(0).text.empty());
}

Test(batch_run, a_checkpoint_is_restored_if_its_versions_are_allowed) {
  batch_run run(job(), rules());
  cr_assert_not(run.onCheckpoint(0, {0, 2, {3}, "one\ntwo"}));
  run.onCheckpoint(1, {1, 2, {2}, "too\nold"});
  cr_assert_eq(run.progress(0).last_event, 2U);
  cr_assert_eq(run.progress(1).last_event, 0U);
  run.onStarted(kStart, 0, kEngine);
  run.onEvent(kStart, 0, 3, "three", 4);
  run.onCheckpoint(0, {0, 1, {3}, "one"});
  cr_assert_eq(run.progress(0).last_event, 3U, "an older checkpoint is ignored");
}

Test(batch_run, appended_items_stay_appended) {
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
  cr_assert_eq(run.finished().size(), 2U, "appended items are not terminated");
}

namespace {

/// Results of an earlier job that contained the group `g2` and has text of its item "c".
batch::partial_results earlierResults(const std::set<WeightVersion>& versions) {
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

Test(batch_run, a_reused_group_starts_first_and_is_required_for_the_step) {
  batch_job one_group = job();
  one_group.desired_groups = 1;
  one_group.items[0].length_hint = 200;
  batch_run run(one_group, rules());
  cr_assert_eq(*run.nextToStart(kStart), 0U, "the longest item, without reused groups");
  run.onPartialResults(earlierResults({2}));
  cr_assert_eq(run.reusedGroups(), 1U);
  cr_assert_eq(*run.nextToStart(kStart), 2U, "the reused group");
  finishItem(run, 0);
  finishItem(run, 1);
  cr_assert_not(run.stepComplete(), "one group is complete, but not the reused one");
  finishItem(run, 2);
  finishItem(run, 3);
  cr_assert(run.stepComplete());
}

Test(batch_run, text_of_a_reused_group_is_resumed_if_its_versions_are_allowed) {
  batch_run fitting(job(), rules());
  cr_assert(fitting.onPartialResults(earlierResults({3, 4})).empty());
  cr_assert_eq(fitting.progress(2).last_event, 2U);
  cr_assert_eq(fitting.progress(2).text, "one\ntwo");
  batch_run too_old(job(), rules());
  too_old.onPartialResults(earlierResults({2, 3}));
  cr_assert_eq(too_old.progress(2).last_event, 0U);
  cr_assert_eq(too_old.reusedGroups(), 1U, "the group is required nevertheless");
}

Test(batch_run, an_attempt_is_obsolete_if_the_reused_text_is_longer) {
  batch_run run(job(), rules());
  run.onStarted(kStart, 2, kEngine);
  run.onEvent(kStart, 2, 1, "one", 4);
  const std::vector<batch::ItemIndex> obsolete = run.onPartialResults(earlierResults({3}));
  cr_assert_eq(obsolete.size(), 1U);
  cr_assert_eq(run.progress(2).text, "one\ntwo");
  cr_assert_eq(run.onEvent(kStart, 2, 2, "other", 4), EventVerdict::kRejected);
  run.onInterrupted(kStart, 2, Duration::zero());
  cr_assert_eq(run.progress(2).state, ItemState::kWaiting);
}

Test(batch_run, a_finished_text_from_a_checkpoint_is_not_generated_again) {
  batch_run run(job(), rules());
  run.onCheckpoint(1, {1, 2, {3}, "one\ntwo", true});
  cr_assert_eq(run.finished().size(), 1U);
  cr_assert_eq(run.result(1).text, "one\ntwo");
  cr_assert_eq(run.waiting(), 3U);
}

Test(batch_run, results_are_published_at_once_if_the_step_is_complete_or_an_item_terminated) {
  batch_job one_group = job();
  one_group.desired_groups = 1;
  batch_run run(one_group, rules());
  cr_assert_not(run.shouldPublishNow(), "nothing is finished");
  finishItem(run, 0);
  cr_assert_not(run.shouldPublishNow());
  finishItem(run, 1);
  cr_assert(run.shouldPublishNow(), "the group is complete");
  batch_run given_up(one_group, rules());
  given_up.onStarted(kStart, 3, kEngine);
  given_up.onRejected(3);
  cr_assert(given_up.shouldPublishNow());
  batch_run without_step(job(), rules());
  finishItem(without_step, 0);
  cr_assert(without_step.shouldPublishNow(), "the trainer waits for no groups");
}

Test(batch_run, a_single_version_route_restores_only_text_of_one_version) {
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

/// A run of `scoredJob` whose item 0 has its complete text.
batch_run runWithCompleteText() {
  batch_run run(scoredJob(), rules());
  run.onStarted(kStart, 0, kEngine);
  run.onEvent(kStart, 0, 1, "one", 3);
  run.onCompleted(kStart, 0);
  return run;
}

}  // namespace

Test(batch_run, a_complete_text_is_finished_only_with_its_score) {
  batch_run run = runWithCompleteText();
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

Test(batch_run, scoring_is_retried_up_to_the_failure_limit) {
  batch_run run = runWithCompleteText();
  const Duration pause = std::chrono::milliseconds(50);
  run.onScoringStarted(0);
  run.onNotScored(kStart, 0, 0, 3, pause);
  cr_assert_not(run.nextToScore(kStart).has_value(), "not before the retry delay has passed");
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

Test(batch_run, a_score_for_a_terminated_item_is_ignored) {
  batch_run run = runWithCompleteText();
  run.onScoringStarted(0);
  run.terminateUnfinished();
  run.onScored(0, "late");
  cr_assert_eq(run.result(0).state, ResultState::kTerminated);
  cr_assert(run.result(0).score.empty());
}

Test(batch_run, complete_texts_and_scores_are_restored_from_checkpoints) {
  batch_run run(scoredJob(), rules());
  run.onCheckpoint(0, {0, 2, {3}, "one\ntwo", true});
  cr_assert(run.progress(0).state == ItemState::kTextComplete);
  cr_assert_eq(*run.nextToScore(kStart), 0U);
  run.onCheckpoint(1, {1, 1, {3}, "one", true, batch::reward_score{"r-b", "kept"}});
  cr_assert(run.progress(1).state == ItemState::kFinished);
  cr_assert_eq(run.result(1).score, "kept");
  run.onCheckpoint(2, {2, 1, {3}, "one", true, batch::reward_score{"other", "kept"}});
  cr_assert(run.progress(2).state == ItemState::kTextComplete,
            "the score belongs to another request");
  run.onCheckpoint(3, {3, 1, {2}, "old", true, batch::reward_score{"r-d", "kept"}});
  cr_assert(run.progress(3).state == ItemState::kWaiting, "its version is below the minimum");
  cr_assert(run.progress(3).score.empty());
}

Test(batch_run, a_text_without_its_score_keeps_its_group_open) {
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
