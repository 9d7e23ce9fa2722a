/// @file
/// What the owner of a job writes while items run: checkpoints and results.

#include <algorithm>

#include "batch/active_job.h"
#include "batch/batch_service.h"
#include "logging/event_log.h"

namespace linenpier::batch {

using logging::LogEvent;

namespace {
constexpr Duration kIdleWait = std::chrono::seconds(1);  ///< While nothing is finished.
constexpr int kCheckpointRest = 3;  ///< Pause between two, in times that the last one took.
}  // namespace

// --- Checkpoints ------------------------------------------------------------------------------

Task<void> BatchService::writeCheckpoint(ActivePtr active, CheckpointNeed need) {
  Checkpoint checkpoint = active->checkpoint();
  std::uint64_t events = 0;
  for (const ItemCheckpoint& item : checkpoint) events += item.last_event;
  const std::uint64_t before = active->checkpoint_events;
  const std::uint64_t difference = events > before ? events - before : before - events;
  const bool much = difference >= options_.checkpoint_events;
  if (need == CheckpointNeed::kIfMuchIsNew && !much) co_return;
  active->checkpoint_events = events;
  const std::uint64_t number = ++active->checkpoints;
  const Revision fence = active->fence;
  const FencedAnswer answer =
      co_await deps_.store.putCheckpoint(active->record.id, fence, number, std::move(checkpoint));
  const bool done = answer.outcome == FencedOutcome::kDone;
  if (done) {
    // The row names the new one: nobody reads those before it any more.
    for (const auto& [old_fence, old_number] : active->kept_checkpoints) {
      spawn(deps_.loop, [this, active, old_fence = old_fence, old_number = old_number] {
        return deps_.store.dropCheckpoint(active->record.id, old_fence, old_number);
      });
    }
    active->kept_checkpoints.clear();
  } else {
    active->checkpoint_events = 0;
  }
  active->kept_checkpoints.emplace_back(fence, number);
  LogEvent("batch", "checkpoint")
      .text("batch", active->record.id.str())
      .number("number", static_cast<std::int64_t>(number))
      .number("events", static_cast<std::int64_t>(events))
      .text("outcome", done ? "done" : "not_done");
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

bool BatchService::listsAtOnce(const BatchRun& run) const {
  return run.listingUrgent() || run.finished().size() >= options_.write_rows ||
         run.finishedBytes() >= options_.write_bytes;
}

Task<void> BatchService::listLoop(ActivePtr active) {
  while (!active->stopped && !active->run.allListed()) {
    if (active->pending.results.empty()) {
      const Instant now = steadyNow();
      Instant due = active->schedule.appendAt(now, listsAtOnce(active->run));
      if (active->run.finished().empty()) due = now + kIdleWait;
      if (due > now) {
        co_await active->finished.waitFor(due - now);
        continue;
      }
    }
    const bool done = co_await listPending(active);
    if (active->stopped) break;
    co_await sleepFor(deps_.loop, done ? options_.list_gap : options_.store_pause);
  }
  if (!active->stopped) {
    LogEvent("batch", "job_listed")
        .text("batch", active->record.id.str())
        .number("results", static_cast<std::int64_t>(active->listed.size()));
    active->stop(steadyNow());
  }
}

Task<bool> BatchService::listPending(ActivePtr active) {
  Active::Pending& pending = active->pending;
  if (pending.results.empty()) {
    pending.position = active->listed.size();
    std::size_t bytes = 0;
    for (const ItemIndex item : active->run.finished()) {
      if (pending.results.size() >= options_.write_rows || bytes >= options_.write_bytes) break;
      StoredResult result{item, deps_.codec.encodeResult(active->run.result(item))};
      bytes += result.encoded.size();
      pending.items.push_back(item);
      pending.results.push_back(std::move(result));
    }
  }
  const Revision fence = active->fence;
  const FencedAnswer answer =
      co_await deps_.store.append(active->record.id, fence, pending.position, pending.results);
  if (active->stopped) co_return false;
  if (answer.outcome == FencedOutcome::kFenceLost && answer.current) {
    onRecordRow(active->record.id, *answer.current);
    co_return false;
  }
  if (answer.outcome != FencedOutcome::kDone) {
    LogEvent("batch", "list_failed")
        .text("batch", active->record.id.str())
        .number("position", static_cast<std::int64_t>(pending.position))
        .text("outcome", answer.outcome == FencedOutcome::kUnknown ? "unknown" : "not_done");
    co_return false;
  }
  for (std::size_t i = 0; i < pending.items.size(); ++i) {
    const bool completed =
        active->run.progress(pending.items[i]).outcome == ResultState::kCompleted;
    ++(completed ? counts_.completed : counts_.terminated);
    active->run.onListed(pending.items[i]);
    active->listed.push_back(std::move(pending.results[i].encoded));
  }
  pending = Active::Pending{};
  active->noteListed();
  active->schedule.onAppended(steadyNow());
  active->listed_changed.notifyAll();
  co_return true;
}

}  // namespace linenpier::batch
