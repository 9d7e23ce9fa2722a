#include "gateway/batch/result_writer.h"

#include <algorithm>

#include "common/event_log.h"
#include "gateway/batch/active_job.h"
#include "gateway/table/store_keys.h"

namespace linenpier::batch {

using logging::LogEvent;

namespace {
/// Time between checks while no item is finished.
constexpr Duration kIdleWait = std::chrono::seconds(1);
}  // namespace

void result_writer::start(const active_job_ptr& active) {
  spawn(this->deps_.loop, [this, active] { return this->appendLoop(active); });
}

bool result_writer::fillsAppend(const batch_run& run) const {
  return run.finished().size() >= this->deps_.options.max_append_rows ||
         run.finishedBytes() >= this->deps_.options.max_append_bytes;
}

bool result_writer::shouldPublishNow(const active_job& active) const {
  return active.run.shouldPublishNow() ||
         active.unpublished_bytes >= this->deps_.options.max_unpublished_bytes;
}

Instant result_writer::nextPublishAt(const active_job& active, Instant now) const {
  const bool held_back =
      active.published < active.appended.size() || !active.run.finished().empty();
  if (!held_back) return now + kIdleWait;
  return active.schedule.publishAt(now, this->shouldPublishNow(active));
}

Instant result_writer::nextAppendAt(const active_job& active, Instant now) const {
  const Instant publish_at = this->nextPublishAt(active, now);
  if (active.run.finished().empty()) return publish_at;
  return std::min(publish_at, active.schedule.appendAt(now, this->fillsAppend(active.run)));
}

Task<void> result_writer::appendLoop(active_job_ptr active) {
  while (!active->stopped && active->published < active->run.job().items.size()) {
    if (active->pending.empty()) {
      const Instant now = steadyNow();
      const Instant due = this->nextAppendAt(*active, now);
      if (due > now) {
        co_await active->results_ready.waitFor(due - now);
        continue;
      }
      this->preparePending(*active, now);
    }
    const bool done = co_await this->writePending(active);
    if (active->stopped) break;
    if (!done) {
      co_await sleepFor(this->deps_.loop, this->deps_.options.store_retry_delay);
    }
  }
  if (!active->stopped) {
    LogEvent("batch", "job_listed")
        .text("batch", active->record.id.str())
        .number("results", static_cast<std::int64_t>(active->appended.size()));
    active->stop(steadyNow());
  }
}

void result_writer::preparePending(active_job& active, Instant now) const {
  const batch_options& options = this->deps_.options;
  active_job::pending_append& pending = active.pending;
  pending.position = active.appended.size();
  std::size_t bytes = 0;
  for (const ItemIndex item : active.run.finished()) {
    if (pending.results.size() >= options.max_append_rows || bytes >= options.max_append_bytes)
      break;
    stored_result result{item, this->deps_.codec.encodeResult(active.run.result(item))};
    bytes += result.encoded.size();
    pending.items.push_back(item);
    pending.results.push_back(std::move(result));
  }
  // If one write cannot take all results, further writes follow at once, and only the last one
  // publishes.
  const bool takes_all = pending.items.size() == active.run.finished().size();
  if (takes_all && this->nextPublishAt(active, now) <= now) {
    pending.publish = pending.position + pending.results.size();
  }
}

Task<bool> result_writer::writePending(active_job_ptr active) {
  const active_job::pending_append& pending = active->pending;
  const JobId id = active->record.id;
  const Revision fence = active->fence;
  std::optional<job_record> publish;
  if (pending.publish) {
    const job_entry* job = this->deps_.jobs.find(id);
    publish = job == nullptr ? active->record : job->record;
    publish->published = *pending.publish;
    publish->started = true;
  }
  const fenced_write_result answer =
      co_await this->deps_.store.append(id, fence, pending.position, pending.results, publish);
  if (active->stopped) co_return false;
  const bool done =
      answer.outcome == FencedWriteOutcome::kCommitted || this->alreadyPublished(answer, *active);
  if (!done && answer.outcome == FencedWriteOutcome::kFenceLost && answer.current) {
    this->deps_.jobs.onRow(id, *answer.current);
    co_return false;
  }
  if (!done) {
    LogEvent("batch", "list_failed")
        .text("batch", id.str())
        .number("position", static_cast<std::int64_t>(pending.position))
        .text("outcome", answer.outcome == FencedWriteOutcome::kUnknown ? "unknown" : "not_done");
    co_return false;
  }
  if (answer.current) {
    this->deps_.jobs.onRow(id, *answer.current);
  } else if (publish) {
    this->deps_.jobs.onRow(id, {table::jobKey(id), answer.revision, encodeRecord(*publish)});
  }
  this->onPendingWritten(*active);
  co_return true;
}

bool result_writer::alreadyPublished(const fenced_write_result& answer,
                                     const active_job& active) const {
  if (answer.outcome != FencedWriteOutcome::kFenceLost || !answer.current) return false;
  const auto record = decodeRecord(active.record.id, answer.current->value);
  if (!record || record->ended || record->owner != this->deps_.leases.own()) return false;
  return active.pending.publish && record->published == *active.pending.publish;
}

void result_writer::onPendingWritten(active_job& active) {
  const Instant now = steadyNow();
  active_job::pending_append& pending = active.pending;
  for (std::size_t i = 0; i < pending.items.size(); ++i) {
    const bool completed = active.run.progress(pending.items[i]).outcome == ResultState::kCompleted;
    ++(completed ? this->deps_.counts.items_completed : this->deps_.counts.items_terminated);
    active.run.onAppended(pending.items[i]);
    active.unpublished_bytes += pending.results[i].encoded.size();
    active.appended.push_back(std::move(pending.results[i]));
  }
  const std::optional<std::size_t> publish = pending.publish;
  pending = active_job::pending_append{};
  active.schedule.onAppended(now);
  if (!publish) return;
  active.published = *publish;
  active.unpublished_bytes = 0;
  active.schedule.onPublished(now);
  active.logStepPublished();
  active.published_changed.notifyAll();
}

}  // namespace linenpier::batch
