#include "gateway/batch/job_registry.h"

#include <algorithm>

#include "common/event_log.h"
#include "gateway/batch/active_job.h"

namespace linenpier::batch {

using logging::LogEvent;

void job_entry::adoptFence() {
  this->active->fence = this->revision;
  this->used_fence = this->revision;
}

void job_registry::onRow(const JobId& id, const table::Row& row) {
  const auto record = decodeRecord(id, row.value);
  if (!record) {
    LogEvent("batch", "bad_record").text("batch", id.str());
    return;
  }
  job_entry& job = this->jobs_[id];
  if (row.revision <= job.revision) return;
  job.record = *record;
  job.revision = row.revision;
  if (job.changed) job.changed->notifyAll();
  this->on_changed_(id, job);
}

job_entry* job_registry::find(const JobId& id) {
  const auto at = this->jobs_.find(id);
  return at == this->jobs_.end() ? nullptr : &at->second;
}

const job_entry* job_registry::find(const JobId& id) const {
  const auto at = this->jobs_.find(id);
  return at == this->jobs_.end() ? nullptr : &at->second;
}

std::vector<JobId> job_registry::earlierJobs(const job_record& record, std::size_t max_jobs) const {
  std::vector<std::pair<std::int64_t, JobId>> earlier;
  for (const auto& [id, job] : this->jobs_) {
    const job_record& other = job.record;
    if (other.tenant != record.tenant) continue;
    if (id == record.id || other.host != record.host || other.model != record.model) continue;
    if (other.accepted_ms <= record.accepted_ms) earlier.emplace_back(other.accepted_ms, id);
  }
  std::sort(earlier.rbegin(), earlier.rend());
  if (earlier.size() > max_jobs) earlier.resize(max_jobs);
  std::vector<JobId> ids;
  ids.reserve(earlier.size());
  for (const auto& [accepted_ms, id] : earlier) ids.push_back(id);
  return ids;
}

}  // namespace linenpier::batch
