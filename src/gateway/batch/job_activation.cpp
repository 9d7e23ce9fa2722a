#include "gateway/batch/job_activation.h"

#include <algorithm>

#include "common/event_log.h"
#include "gateway/batch/active_job.h"
#include "gateway/batch/job_rules.h"

namespace linenpier::batch {

using logging::LogEvent;

namespace {

void restore(active_job& active, const stored_progress& progress) {
  const std::size_t items = active.run.job().items.size();
  for (const stored_result& each : progress.results) {
    if (each.item_index < items) active.run.onAlreadyAppended(each.item_index);
    active.appended.push_back(each);
  }
  active.published = std::min(active.record.published, active.appended.size());
  for (std::size_t i = active.published; i < active.appended.size(); ++i) {
    active.unpublished_bytes += active.appended[i].encoded.size();
  }
  active.checkpoint_first_row = progress.checkpoint.first_row;
  active.checkpoint_next_row = progress.checkpoint.next_row;
  for (const item_checkpoint& restored : progress.checkpoint.texts) {
    if (restored.item_index < items) active.run.onCheckpoint(restored.item_index, restored);
  }
}

void logActive(const active_job& active, const stored_progress& progress) {
  const batch_job& job = active.run.job();
  LogEvent("batch", "job_active")
      .text("batch", active.record.id.str())
      .text("model", active.record.model.str())
      .number("step", static_cast<std::int64_t>(job.step.value_or(0)))
      .number("desired_groups", static_cast<std::int64_t>(job.desired_groups))
      .number("fence", static_cast<std::int64_t>(active.fence))
      .number("items", static_cast<std::int64_t>(active.record.total))
      .number("listed", static_cast<std::int64_t>(progress.results.size()))
      .number("checkpoint", static_cast<std::int64_t>(progress.checkpoint.texts.size()))
      .number("minimum_version", static_cast<std::int64_t>(job.minimum_version));
}

}  // namespace

void job_activation::activate(const JobId& id, batch_job parsed, const stored_progress& progress,
                              Instant accepted_at) {
  job_entry& job = this->deps_.jobs.findOrCreate(id);
  const auto active = std::make_shared<active_job>(this->deps_.loop, job.record, std::move(parsed),
                                                   run_rules{}, this->deps_.options.result_timing);
  job.active = active;
  job.adoptFence();
  active->accepted_at = accepted_at;
  // The rules must be set first: they determine which checkpointed texts are allowed.
  applyRules(*active, this->deps_.routes());
  restore(*active, progress);
  logActive(*active, progress);
  this->deps_.results.start(active);
  this->deps_.checkpoints.start(active);
  this->deps_.reuse.start(active);
  this->deps_.runner.startRunnableItems();
}

}  // namespace linenpier::batch
