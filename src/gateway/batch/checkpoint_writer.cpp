#include "gateway/batch/checkpoint_writer.h"

#include <algorithm>

#include "common/event_log.h"
#include "gateway/batch/active_job.h"
#include "gateway/batch/checkpoint_rows.h"

namespace linenpier::batch {

using logging::LogEvent;

namespace {
/// Minimum pause between checkpoints, as a multiple of the duration of the last write.
constexpr int kCheckpointBackoffFactor = 3;
}  // namespace

void checkpoint_writer::start(const active_job_ptr& active) {
  spawn(this->deps_.loop, [this, active] { return this->checkpointLoop(active); });
}

Task<bool> checkpoint_writer::write(active_job_ptr active, Condition condition) {
  // The outcome of the write in progress is unknown, so the next part must be full.
  if (active->checkpoint_in_progress) active->checkpointed.onWriteUnknown();
  const checkpoint_part part = active->checkpointed.next(active->run);
  const bool enough_new = part.events >= this->deps_.options.min_checkpoint_events;
  if (part.texts.empty() || (condition == Condition::kEnoughNewEvents && !enough_new)) {
    co_return true;
  }
  checkpoint_write write;
  write.rows = toRows(part.texts, this->deps_.store.rowBytes());
  write.first_row = active->checkpoint_next_row;
  write.obsolete_from = part.full ? active->checkpoint_first_row : write.first_row;
  const std::size_t rows = write.rows.size();
  const std::size_t first_row = write.first_row;
  active->checkpoint_next_row += rows;
  active->checkpoint_in_progress = true;
  const Instant start_time = steadyNow();
  const fenced_write_result answer =
      co_await this->deps_.store.putCheckpoint(active->record.id, active->fence, std::move(write));
  active->checkpoint_in_progress = false;
  const bool done = answer.outcome == FencedWriteOutcome::kCommitted;
  if (done) {
    active->checkpointed.onWritten(part);
    if (part.full) active->checkpoint_first_row = first_row;
  } else {
    active->checkpointed.onWriteUnknown();
  }
  LogEvent("batch", "checkpoint")
      .text("batch", active->record.id.str())
      .number("row", static_cast<std::int64_t>(first_row))
      .number("rows", static_cast<std::int64_t>(rows))
      .number("events", static_cast<std::int64_t>(part.events))
      .text("part", part.full ? "whole" : "addition")
      .text("outcome", done ? "done" : "not_done")
      .milliseconds("took_ms", steadyNow() - start_time);
  co_return done;
}

Task<void> checkpoint_writer::checkpointLoop(active_job_ptr active) {
  Duration pause = this->deps_.options.checkpoint_interval;
  for (;;) {
    co_await sleepFor(this->deps_.loop, pause);
    if (active->stopped || active->run.allAppended()) co_return;
    const Instant start_time = steadyNow();
    co_await this->write(active, Condition::kEnoughNewEvents);
    // Wait longer if the store is slow, so that checkpoints do not delay results and lease
    // renewals.
    pause = std::max<Duration>(this->deps_.options.checkpoint_interval,
                               kCheckpointBackoffFactor * (steadyNow() - start_time));
  }
}

}  // namespace linenpier::batch
