#include "gateway/batch/checkpoint_tracker.h"

#include <criterion/criterion.h>

using namespace linenpier;
using namespace linenpier::batch;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};
const EngineId kEngine("e");

batch_run runOf(std::size_t items) {
  batch_job job;
  job.minimum_version = 1;
  for (std::size_t i = 0; i < items; ++i) {
    batch_item item;
    item.id = ItemId("i" + std::to_string(i));
    item.group = GroupId("g" + std::to_string(i));
    job.items.push_back(item);
  }
  run_rules rules;
  rules.terminate_at = kStart + std::chrono::hours(1);
  return {job, rules};
}

/// Adds the events from `first` up to `last` to the item.
void addEvents(batch_run& run, ItemIndex item, std::uint64_t first, std::uint64_t last) {
  if (run.progress(item).state == ItemState::kWaiting) run.onStarted(kStart, item, kEngine);
  for (std::uint64_t event = first; event <= last; ++event) {
    run.onEvent(kStart, item, event, "e" + std::to_string(event), 1);
  }
}

/// Writes the next part.
item_checkpoints writeNext(checkpoint_tracker& tracker, const batch_run& run) {
  const checkpoint_part part = tracker.next(run);
  tracker.onWritten(part);
  return part.texts;
}

}  // namespace

Test(checkpoint_tracker, parts_hold_increments_and_merge_to_the_full_text) {
  batch_run run = runOf(2);
  checkpoint_tracker tracker;
  addEvents(run, 0, 1, 6);
  std::vector<item_checkpoints> parts = {writeNext(tracker, run)};
  addEvents(run, 0, 7, 9);
  addEvents(run, 1, 1, 5);
  parts.push_back(writeNext(tracker, run));
  cr_assert_eq(parts[1].size(), 2U);
  cr_assert_eq(parts[1][0].after_event, 6U);
  cr_assert_eq(parts[1][0].text, "\ne7\ne8\ne9");
  cr_assert(tracker.next(run).texts.empty(), "no changes");
  run.onCompleted(kStart, 0);
  parts.push_back(writeNext(tracker, run));
  cr_assert_eq(parts[2].size(), 1U);
  cr_assert_eq(parts[2][0].text, "");
  const item_checkpoints merged = mergeParts(parts);
  cr_assert_eq(merged[0].text, run.progress(0).text);
  cr_assert(merged[0].finished);
  cr_assert_eq(merged[1].text, run.progress(1).text);
}

Test(checkpoint_tracker, a_restarted_text_is_written_in_full) {
  batch_run run = runOf(1);
  checkpoint_tracker tracker;
  addEvents(run, 0, 1, 6);
  writeNext(tracker, run);
  run.discardText(0);
  addEvents(run, 0, 1, 8);
  const item_checkpoints part = writeNext(tracker, run);
  cr_assert_eq(part[0].after_event, 0U);
  cr_assert_eq(part[0].text, run.progress(0).text);
}

Test(checkpoint_tracker, a_text_restarted_during_a_write_is_written_in_full_afterwards) {
  batch_run run = runOf(1);
  checkpoint_tracker tracker;
  addEvents(run, 0, 1, 6);
  const checkpoint_part part = tracker.next(run);
  run.discardText(0);
  addEvents(run, 0, 1, 8);
  tracker.onWritten(part);
  cr_assert_eq(tracker.next(run).texts[0].after_event, 0U);
}

Test(checkpoint_tracker, the_part_after_an_unanswered_write_is_full) {
  batch_run run = runOf(1);
  checkpoint_tracker tracker;
  addEvents(run, 0, 1, 6);
  writeNext(tracker, run);
  addEvents(run, 0, 7, 7);
  cr_assert_not(tracker.next(run).full);
  tracker.onWriteUnknown();
  const checkpoint_part part = tracker.next(run);
  cr_assert(part.full);
  cr_assert_eq(part.texts[0].text, run.progress(0).text);
}

Test(checkpoint_tracker, the_number_of_parts_since_the_last_full_one_is_bounded) {
  batch_run run = runOf(1);
  checkpoint_tracker tracker;
  addEvents(run, 0, 1, 5);
  int full = 0;
  for (std::uint64_t event = 6; event < 106; ++event) {
    addEvents(run, 0, event, event);
    const checkpoint_part part = tracker.next(run);
    if (part.full) ++full;
    tracker.onWritten(part);
  }
  cr_assert_geq(full, 6);
  cr_assert_leq(full, 8);
}

Test(checkpoint_tracker, appended_items_are_omitted) {
  batch_run run = runOf(1);
  addEvents(run, 0, 1, 6);
  run.onCompleted(kStart, 0);
  run.onAppended(0);
  cr_assert(checkpoint_tracker{}.next(run).texts.empty());
}
