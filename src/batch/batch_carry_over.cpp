/// @file
/// What a job takes over from earlier ones of the same route and model.

#include <algorithm>

#include "batch/active_job.h"
#include "batch/batch_service.h"
#include "logging/event_log.h"

namespace linenpier::batch {

using logging::LogEvent;

std::vector<JobId> BatchService::earlierJobs(const JobRecord& record) const {
  std::vector<std::pair<std::int64_t, JobId>> earlier;
  for (const auto& [id, job] : jobs_) {
    const JobRecord& other = job.record;
    if (id == record.id || other.host != record.host || other.model != record.model) continue;
    if (other.accepted_ms <= record.accepted_ms) earlier.emplace_back(other.accepted_ms, id);
  }
  std::sort(earlier.rbegin(), earlier.rend());
  if (earlier.size() > options_.earlier_jobs) earlier.resize(options_.earlier_jobs);
  std::vector<JobId> ids;
  for (const auto& [accepted_ms, id] : earlier) ids.push_back(id);
  return ids;
}

/** Reads under way of what earlier jobs left. */
struct BatchService::carry_over_search
    : boost::intrusive_ref_counter<carry_over_search, boost::thread_unsafe_counter> {
  explicit carry_over_search(boost::asio::io_context& loop) : changed(loop) {}

  boost::intrusive_ptr<carry_over> found{new carry_over};
  std::size_t unanswered = 0;
  Signal changed;
};

Task<void> BatchService::readEarlierJob(JobId id, boost::intrusive_ptr<carry_over_search> search) {
  const auto bytes = co_await deps_.store.getJob(id);
  if (bytes) {
    const auto job = deps_.codec.parseJob(id, *bytes);
    const auto kept = co_await deps_.store.getCheckpoint(id);
    if (job) search->found->addJob(*job, kept.value_or(Checkpoint{}));
  }
  --search->unanswered;
  search->changed.notifyAll();
}

Task<carry_over_ptr> BatchService::findCarryOver(JobRecord record) {
  boost::intrusive_ptr<carry_over_search> search(new carry_over_search(deps_.loop));
  const Instant begun = steadyNow();
  const std::vector<JobId> earlier = earlierJobs(record);
  for (const JobId& id : earlier) {
    const ActivePtr active = jobs_.at(id).active;
    if (active) {
      search->found->addJob(active->run.job(), active->checkpoint());
      continue;
    }
    ++search->unanswered;
    spawn(deps_.loop, [this, id, search] { return readEarlierJob(id, search); });
  }
  const std::size_t asked = search->unanswered;
  const Instant deadline = begun + options_.carry_over_time;
  while (search->unanswered > 0 && steadyNow() < deadline) {
    co_await search->changed.waitFor(deadline - steadyNow());
  }
  LogEvent("batch", "carry_over")
      .text("batch", record.id.str())
      .number("earlier_jobs", static_cast<std::int64_t>(earlier.size()))
      .number("asked", static_cast<std::int64_t>(asked))
      .number("unanswered", static_cast<std::int64_t>(search->unanswered))
      .milliseconds("took_ms", steadyNow() - begun);
  co_return search->found;
}

Task<void> BatchService::begin(JobId id, std::shared_ptr<BatchJob> job, Instant give_up_at) {
  Inheritance inheritance;
  auto at = jobs_.find(id);
  if (at == jobs_.end()) co_return;
  const JobRecord record = at->second.record;
  inheritance.carried = co_await findCarryOver(record);
  at = jobs_.find(id);
  if (at == jobs_.end()) co_return;
  Job& mine = at->second;
  mine.activating = false;
  if (mine.record.ended || stopping_ || mine.record.owner != deps_.leases.own()) co_return;
  activate(id, std::move(*job), inheritance, give_up_at);
}

}  // namespace linenpier::batch
