/// @file
/// What the owner of a job writes while items run: checkpoints and results.

#include <algorithm>

#include "common/event_log.h"
#include "gateway/batch/active_job.h"
#include "gateway/batch/batch_service.h"
#include "gateway/batch/checkpoint_rows.h"
#include "gateway/table/store_keys.h"

namespace linenpier::batch {

using logging::LogEvent;

namespace {
constexpr Duration kIdleWait = std::chrono::seconds(1);  ///< While nothing is finished.
constexpr int kCheckpointRest = 3;  ///< Pause between two, in times that the last one took.
}  // namespace

// --- Checkpoints ------------------------------------------------------------------------------

Task<void> BatchService::writeCheckpoint(ActivePtr active, CheckpointNeed need) {
  // What a write under way adds is not known yet.
  if (active->checkpoint_in_progress) active->kept_texts.onUnsettled();
  const checkpoint_part part = active->kept_texts.next(active->run);
  const bool much = part.events >= options_.checkpoint_events;
  if (part.texts.empty() || (need == CheckpointNeed::kIfMuchIsNew && !much)) co_return;
  CheckpointWrite write;
  write.rows = toRows(part.texts, deps_.store.rowBytes());
  write.first_row = active->checkpoint_next_row;
  write.obsolete_from = part.whole ? active->checkpoint_first_row : write.first_row;
  const std::size_t rows = write.rows.size();
  const std::size_t first_row = write.first_row;
  active->checkpoint_next_row += rows;
  active->checkpoint_in_progress = true;
  const Instant begun = steadyNow();
  const FencedAnswer answer =
      co_await deps_.store.putCheckpoint(active->record.id, active->fence, std::move(write));
  active->checkpoint_in_progress = false;
  const bool done = answer.outcome == FencedOutcome::kDone;
  if (done) {
    active->kept_texts.onWritten(part);
    if (part.whole) active->checkpoint_first_row = first_row;
  } else {
    active->kept_texts.onUnsettled();
  }
  LogEvent("batch", "checkpoint")
      .text("batch", active->record.id.str())
      .number("row", static_cast<std::int64_t>(first_row))
      .number("rows", static_cast<std::int64_t>(rows))
      .number("events", static_cast<std::int64_t>(part.events))
      .text("part", part.whole ? "whole" : "addition")
      .text("outcome", done ? "done" : "not_done")
      .milliseconds("took_ms", steadyNow() - begun);
}

Task<void> BatchService::checkpointLoop(ActivePtr active) {
  Duration pause = options_.checkpoint_gap;
  for (;;) {
    co_await sleepFor(deps_.loop, pause);
    if (active->stopped || active->run.allListed()) co_return;
    const Instant begun = steadyNow();
    co_await writeCheckpoint(active, CheckpointNeed::kIfMuchIsNew);
    // A store that is slow has results and renewals to take first.
    pause = std::max<Duration>(options_.checkpoint_gap, kCheckpointRest * (steadyNow() - begun));
  }
}

// --- Listing ------------------------------------------------------------------------------------

bool BatchService::fillsAppend(const BatchRun& run) const {
  return run.finished().size() >= options_.write_rows ||
         run.finishedBytes() >= options_.write_bytes;
}

bool BatchService::releaseUrgent(const Active& active) const {
  return active.run.releaseUrgent() || active.held_back_bytes >= options_.release_bytes;
}

Instant BatchService::nextReleaseAt(const Active& active, Instant now) const {
  const bool held_back = active.released < active.listed.size() || !active.run.finished().empty();
  if (!held_back) return now + kIdleWait;
  return active.schedule.releaseAt(now, releaseUrgent(active));
}

Instant BatchService::nextAppendAt(const Active& active, Instant now) const {
  const Instant release_at = nextReleaseAt(active, now);
  if (active.run.finished().empty()) return release_at;
  return std::min(release_at, active.schedule.appendAt(now, fillsAppend(active.run)));
}

Task<void> BatchService::listLoop(ActivePtr active) {
  while (!active->stopped && active->released < active->run.job().items.size()) {
    if (active->pending.empty()) {
      const Instant now = steadyNow();
      const Instant due = nextAppendAt(*active, now);
      if (due > now) {
        co_await active->finished.waitFor(due - now);
        continue;
      }
      preparePending(*active, now);
    }
    const bool done = co_await writePending(active);
    if (active->stopped) break;
    if (!done) {
      co_await sleepFor(deps_.loop, options_.store_pause);
    }
  }
  if (!active->stopped) {
    LogEvent("batch", "job_listed")
        .text("batch", active->record.id.str())
        .number("results", static_cast<std::int64_t>(active->listed.size()));
    active->stop(steadyNow());
  }
}

void BatchService::preparePending(Active& active, Instant now) const {
  Active::Pending& pending = active.pending;
  pending.position = active.listed.size();
  std::size_t bytes = 0;
  for (const ItemIndex item : active.run.finished()) {
    if (pending.results.size() >= options_.write_rows || bytes >= options_.write_bytes) break;
    StoredResult result{item, deps_.codec.encodeResult(active.run.result(item))};
    bytes += result.encoded.size();
    pending.items.push_back(item);
    pending.results.push_back(std::move(result));
  }
  // What one write does not take follows at once; readers are shown all of it together.
  const bool takes_all = pending.items.size() == active.run.finished().size();
  if (takes_all && nextReleaseAt(active, now) <= now) {
    pending.release = pending.position + pending.results.size();
  }
}

Task<bool> BatchService::writePending(ActivePtr active) {
  const Active::Pending& pending = active->pending;
  const JobId id = active->record.id;
  const Revision fence = active->fence;
  std::optional<JobRecord> release;
  if (pending.release) {
    const known_job* job = jobs_.find(id);
    release = job == nullptr ? active->record : job->record;
    release->released = *pending.release;
    release->begun = true;
  }
  const FencedAnswer answer =
      co_await deps_.store.append(id, fence, pending.position, pending.results, release);
  if (active->stopped) co_return false;
  const bool done = answer.outcome == FencedOutcome::kDone || releasedBefore(answer, *active);
  if (!done && answer.outcome == FencedOutcome::kFenceLost && answer.current) {
    jobs_.onRow(id, *answer.current);
    co_return false;
  }
  if (!done) {
    LogEvent("batch", "list_failed")
        .text("batch", id.str())
        .number("position", static_cast<std::int64_t>(pending.position))
        .text("outcome", answer.outcome == FencedOutcome::kUnknown ? "unknown" : "not_done");
    co_return false;
  }
  if (answer.current) {
    jobs_.onRow(id, *answer.current);
  } else if (release) {
    jobs_.onRow(id, {table::jobKey(id), answer.revision, encodeRecord(*release)});
  }
  onPendingWritten(*active);
  co_return true;
}

bool BatchService::releasedBefore(const FencedAnswer& answer, const Active& active) const {
  if (answer.outcome != FencedOutcome::kFenceLost || !answer.current) return false;
  const auto record = decodeRecord(active.record.id, answer.current->value);
  if (!record || record->ended || record->owner != deps_.leases.own()) return false;
  return active.pending.release && record->released == *active.pending.release;
}

void BatchService::onPendingWritten(Active& active) {
  const Instant now = steadyNow();
  Active::Pending& pending = active.pending;
  for (std::size_t i = 0; i < pending.items.size(); ++i) {
    const bool completed = active.run.progress(pending.items[i]).outcome == ResultState::kCompleted;
    ++(completed ? counts_.completed : counts_.terminated);
    active.run.onListed(pending.items[i]);
    active.held_back_bytes += pending.results[i].encoded.size();
    active.listed.push_back(std::move(pending.results[i]));
  }
  const std::optional<std::size_t> release = pending.release;
  pending = Active::Pending{};
  active.schedule.onAppended(now);
  if (!release) return;
  active.released = *release;
  active.held_back_bytes = 0;
  active.schedule.onReleased(now);
  active.noteReleased();
  active.released_changed.notifyAll();
}

}  // namespace linenpier::batch
