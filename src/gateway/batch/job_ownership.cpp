#include "gateway/batch/job_ownership.h"

#include <algorithm>

#include "common/event_log.h"
#include "gateway/batch/active_job.h"
#include "gateway/table/store_keys.h"

namespace linenpier::batch {

using logging::LogEvent;

namespace {
/// Time after which a job without an owner is reported. Daemons within its residency would have
/// taken it over sooner.
constexpr Duration kResidencyWait = std::chrono::seconds(3);
/// Minimum time between log entries about jobs that are waiting for an owner.
constexpr Duration kWaitLogInterval = std::chrono::seconds(10);
/// Time before the end of this daemon that is left for releasing jobs whose last checkpoint could
/// not be written.
constexpr Duration kReleaseTime = std::chrono::seconds(1);
/// Timeout of the check whether the store responds before a job is released; long enough for a slow
/// store.
constexpr Duration kReleaseProbeTimeout = std::chrono::milliseconds(1500);
}  // namespace

bool job_ownership::isOwn(const job_entry& job) const {
  return job.record.owner == this->deps_.leases.own();
}

bool job_ownership::ownsOpenJobs() const {
  return std::any_of(
      this->deps_.jobs.all().begin(), this->deps_.jobs.all().end(),
      [this](const auto& each) { return !each.second.record.ended && this->isOwn(each.second); });
}

// --- Rows ---------------------------------------------------------------------------------------

void job_ownership::onJobChanged(const JobId& id, job_entry& job) {
  const job_record& record = job.record;
  job.orphaned_at = Instant{};
  if (job.active && (record.ended || !this->isOwn(job))) {
    this->deactivate(job, record.ended ? "ended" : "taken_by_another");
  } else if (job.active && !job.active->stopped) {
    job.adoptFence();
  } else if (!job.active && !job.transition_pending && !record.ended && !this->stopping_ &&
             this->isOwn(job)) {
    this->startResume(id, job);
  } else if (this->stopping_ && !record.ended && this->isOwn(job)) {
    // The job was assigned to this daemon before other daemons knew that it is shutting down.
    this->startRelease(id, job);
  }
}

void job_ownership::startResume(const JobId& id, job_entry& job) {
  // If this daemon is not known to be within the job's residency, `checkResidency` resumes or
  // releases the job once the residency is known.
  job.resume_when_in_residency = !this->deps_.residency.mayOwn(job.record);
  if (job.resume_when_in_residency) return;
  job.transition_pending = true;
  spawn(this->deps_.loop, [this, id] { return this->resume(id); });
}

void job_ownership::deactivate(job_entry& job, const char* reason) {
  if (!job.active || job.active->stopped) return;
  LogEvent("batch", "job_stopped")
      .text("batch", job.record.id.str())
      .text("reason", reason)
      .number("revision", static_cast<std::int64_t>(job.revision))
      .number("listed", static_cast<std::int64_t>(job.active->appended.size()));
  if (!job.record.ended) ++this->deps_.counts.jobs_lost;
  job.active->stop(steadyNow());
  if (!job.record.ended || job.active->run.allAppended()) return;
  // Write a last checkpoint of the ended job, since later jobs may contain its incomplete groups.
  job.active->fence = job.revision;
  const active_job_ptr active = job.active;
  spawn(this->deps_.loop, [this, active]() -> Task<void> {
    co_await this->deps_.checkpoints.write(active, checkpoint_writer::Condition::kAnyChange);
  });
}

// --- Taking over --------------------------------------------------------------------------------

void job_ownership::checkOwners(Instant now) {
  this->awaiting_owner_ = 0;
  for (auto& [id, job] : this->deps_.jobs.all()) this->checkOwner(now, id, job);
}

void job_ownership::checkOwner(Instant now, const JobId& id, job_entry& job) {
  if (!this->checkResidency(id, job)) return;
  this->releaseStopped(now, job);
  if (job.record.ended || job.transition_pending) return;
  if (this->stopping_) {
    if (this->isOwn(job)) this->startRelease(id, job);
    return;
  }
  if (job.active && !job.active->stopped) return;
  if (this->isOwn(job)) {
    // This daemon's takeover was committed, but the response was lost: the row came from the feed.
    // The job must be resumed here, because no other daemon takes it over while this daemon's lease
    // is valid.
    if (!job.active) this->startResume(id, job);
    return;
  }
  this->considerTakeover(now, id, job);
}

void job_ownership::releaseStopped(Instant now, job_entry& job) const {
  if (!job.active || !job.active->stopped) return;
  if (!job.active->calls.empty() || !job.active->scorings.empty()) return;
  // Jobs that may be removed from the store need not stay in memory.
  const batch_options& options = this->deps_.options;
  const Duration keep = std::min(options.ended_job_cache_time, options.job_retention);
  if (now - job.active->stopped_at > keep) job.active.reset();
}

void job_ownership::considerTakeover(Instant now, const JobId& id, job_entry& job) {
  lease::lease_table& leases = this->deps_.leases;
  if (!leases.storeHealthy() || !leases.expired(job.record.owner)) return;
  if (job.orphaned_at == Instant{}) job.orphaned_at = now;
  if (!this->deps_.residency.mayOwn(job.record)) {
    this->reportAwaitingOwner(now, id, job);
    return;
  }
  const bool own = leases.isPreviousIncarnation(job.record.owner);
  // The same daemon takes over all jobs of a model.
  const std::string& what = job.record.model.empty() ? id.str() : job.record.model.str();
  const Duration delay = own ? Duration::zero() : this->deps_.pool.takeoverDelay(now, what);
  if (now - job.orphaned_at < delay) return;
  job.transition_pending = true;
  job.orphaned_at = Instant{};
  spawn(this->deps_.loop, [this, id] { return this->takeOver(id); });
}

Task<void> job_ownership::takeOver(JobId id) {
  job_entry* known = this->deps_.jobs.find(id);
  if (known == nullptr) co_return;
  const LeaseId previous_owner = known->record.owner;
  const bool confirmed = co_await this->deps_.keeper.confirmNotRenewed(previous_owner);
  job_entry* at = this->deps_.jobs.find(id);
  if (at == nullptr) co_return;
  if (!confirmed || at->record.owner != previous_owner) {
    at->transition_pending = false;
    co_return;
  }
  job_record record = at->record;
  const Revision fence = at->revision;
  const std::string from = record.owner.str();
  record.owner = this->deps_.leases.own();
  record.started = true;
  const Instant sent_at = steadyNow();
  std::vector<table::Put> renewal;
  renewal.push_back(this->deps_.keeper.renewal());
  const fenced_write_result answer =
      co_await this->deps_.store.putRecord(record, fence, std::move(renewal));
  job_entry* job = this->deps_.jobs.find(id);
  if (job == nullptr) co_return;
  LogEvent("batch", "takeover")
      .text("batch", id.str())
      .text("from", from)
      .number("fence", static_cast<std::int64_t>(fence))
      .text("outcome", answer.outcome == FencedWriteOutcome::kCommitted ? "done" : "not_done");
  if (answer.outcome != FencedWriteOutcome::kCommitted) {
    job->transition_pending = false;
    if (answer.current) this->deps_.jobs.onRow(id, *answer.current);
    co_return;
  }
  ++this->deps_.counts.jobs_taken_over;
  this->deps_.keeper.onRenewed(sent_at);
  if (answer.revision > job->revision) {
    job->record = record;
    job->revision = answer.revision;
  }
  co_await this->resume(id);
}

Task<void> job_ownership::resume(JobId id) {
  while (this->mayResume(id)) {
    const bool unused = co_await this->acquireUnusedFence(id);
    if (unused) {
      const bool done = co_await this->readAndActivate(id);
      if (done) break;
    }
    co_await sleepFor(this->deps_.loop, this->deps_.options.store_retry_delay);
  }
  job_entry* at = this->deps_.jobs.find(id);
  if (at != nullptr) at->transition_pending = false;
}

bool job_ownership::mayResume(const JobId& id) {
  job_entry* job = this->deps_.jobs.find(id);
  if (job == nullptr || job->record.ended || this->stopping_ || !this->isOwn(*job)) return false;
  job->resume_when_in_residency = !this->deps_.residency.mayOwn(job->record);
  return !job->resume_when_in_residency;
}

Task<bool> job_ownership::acquireUnusedFence(JobId id) {
  const job_entry* job = this->deps_.jobs.find(id);
  if (job->hasUnusedFence()) co_return true;
  const Revision fence = job->revision;
  job_record record = job->record;
  // The earlier run may have stored results and checkpoints.
  record.started = true;
  const fenced_write_result answer = co_await this->deps_.store.putRecord(record, fence, {});
  LogEvent("batch", "fence_renewed")
      .text("batch", id.str())
      .number("before", static_cast<std::int64_t>(fence))
      .number("fence", static_cast<std::int64_t>(answer.revision))
      .text("outcome", toText(answer.outcome));
  if (answer.outcome == FencedWriteOutcome::kCommitted) {
    this->deps_.jobs.onRow(id, {table::jobKey(id), answer.revision, encodeRecord(record)});
  } else if (answer.current) {
    this->deps_.jobs.onRow(id, *answer.current);
  }
  co_return answer.outcome == FencedWriteOutcome::kCommitted;
}

Task<bool> job_ownership::readAndActivate(JobId id) {
  const job_entry* known = this->deps_.jobs.find(id);
  if (known == nullptr) co_return false;
  const job_record record = known->record;
  const Revision fence = known->revision;
  const auto bytes = co_await this->deps_.store.getJob(record);
  if (!bytes) co_return false;
  const auto progress = co_await this->readProgress(record);
  if (!progress) co_return false;
  // The progress is complete only if nothing was written under an earlier fence since.
  const job_entry* at = this->deps_.jobs.find(id);
  if (at == nullptr || at->revision != fence || this->stopping_) co_return false;
  auto job = this->deps_.codec.parseJob(id, *bytes);
  if (!job) {
    LogEvent("batch", "bad_job").text("batch", id.str()).text("reason", describe(job.error()));
    co_return true;
  }
  const Duration age = std::chrono::milliseconds(progress->clock_ms - record.accepted_ms);
  this->deps_.activation.activate(id, std::move(*job), *progress,
                                  steadyNow() - std::max(age, Duration::zero()));
  co_return true;
}

Task<CallResult<stored_progress>> job_ownership::readProgress(job_record record) {
  stored_progress progress;
  if (!record.started) {
    progress.clock_ms = this->deps_.keeper.storeClock(steadyNow());
    co_return progress;
  }
  co_return co_await this->deps_.store.getProgress(record.id);
}

// --- Residency ----------------------------------------------------------------------------------

bool job_ownership::checkResidency(const JobId& id, job_entry& job) {
  const bool open = !job.record.ended && job.record.published < job.record.total;
  if (!open || job.transition_pending || this->stopping_ || !this->isOwn(job)) return true;
  const std::optional<fleet::data_residency> residency = this->deps_.residency.of(job.record);
  if (!residency) return true;
  const bool within_residency = residency->allows(this->deps_.residency.ownRegion());
  if (within_residency && !job.resume_when_in_residency) return true;
  job.transition_pending = true;
  job.resume_when_in_residency = false;
  if (within_residency) {
    spawn(this->deps_.loop, [this, id] { return this->resume(id); });
  } else {
    spawn(this->deps_.loop, [this, id] { return this->releaseForResidency(id); });
  }
  return false;
}

Task<void> job_ownership::releaseForResidency(JobId id) {
  job_entry* known = this->deps_.jobs.find(id);
  if (known == nullptr) co_return;
  const std::optional<fleet::data_residency> residency = this->deps_.residency.of(known->record);
  LogEvent("batch", "given_up")
      .text("batch", id.str())
      .text("reason", "not_at_home")
      .text("homes", namesOf(residency))
      .text("region", this->deps_.residency.ownRegion().str());
  ++this->deps_.counts.jobs_handed_over_for_residency;
  co_await this->release(id, steadyNow());
}

void job_ownership::reportAwaitingOwner(Instant now, const JobId& id, job_entry& job) {
  const bool open = job.record.published < job.record.total;
  if (!open || now - job.orphaned_at < kResidencyWait) return;
  ++this->awaiting_owner_;
  if (now < this->next_wait_log_) return;
  this->next_wait_log_ = now + kWaitLogInterval;
  const std::optional<fleet::data_residency> residency = this->deps_.residency.of(job.record);
  LogEvent("batch", "waits_for_home")
      .text("batch", id.str())
      .text("homes", namesOf(residency))
      .text("region", this->deps_.residency.ownRegion().str())
      .text("owner", job.record.owner.str())
      .milliseconds("waits_ms", now - job.orphaned_at);
}

// --- Handing over -------------------------------------------------------------------------------

void job_ownership::handOver(Instant until) {
  this->stopping_ = true;
  this->ends_at_ = until;
  this->checkOwners(steadyNow());
}

void job_ownership::startRelease(const JobId& id, job_entry& job) {
  if (job.transition_pending) return;
  job.transition_pending = true;
  spawn(this->deps_.loop, [this, id] { return this->releaseBeforeEnd(id); });
}

Task<void> job_ownership::releaseBeforeEnd(JobId id) {
  const Instant save_until = this->ends_at_ - kReleaseTime;
  while (steadyNow() < save_until) {
    const bool reachable = co_await this->deps_.store.isReachable(id, kReleaseProbeTimeout);
    if (reachable) break;
    co_await sleepFor(this->deps_.loop, this->deps_.options.store_retry_delay);
  }
  co_await this->release(id, save_until);
}

Task<void> job_ownership::release(JobId id, Instant save_until) {
  job_entry* at = this->deps_.jobs.find(id);
  if (at == nullptr) co_return;
  const active_job_ptr active = at->active;
  if (this->isOwn(*at) && active && !active->stopped) {
    active->stop(steadyNow());
    co_await this->saveText(id, active, save_until);
  }
  co_await this->clearOwner(id);
  at = this->deps_.jobs.find(id);
  if (at != nullptr && this->isOwn(*at)) {
    // The release failed. `checkOwner` repeats it, or resumes the job if it was released for its
    // residency and the residency has changed back by then.
    at->resume_when_in_residency = true;
    co_await sleepFor(this->deps_.loop, this->deps_.options.store_retry_delay);
  }
  if (job_entry* job = this->deps_.jobs.find(id)) job->transition_pending = false;
}

Task<void> job_ownership::saveText(JobId id, active_job_ptr active, Instant save_until) {
  for (;;) {
    // This write is required even if another checkpoint write is in progress, because the
    // other write fails if the job is released before that write is committed.
    const bool saved =
        co_await this->deps_.checkpoints.write(active, checkpoint_writer::Condition::kAnyChange);
    if (saved || steadyNow() >= save_until) co_return;
    co_await sleepFor(this->deps_.loop, this->deps_.options.store_retry_delay);
    job_entry* job = this->deps_.jobs.find(id);
    if (job == nullptr || job->active != active || !this->isOwn(*job)) co_return;
    // The job's row may have changed, for example by a write that published results.
    job->adoptFence();
  }
}

Task<void> job_ownership::clearOwner(JobId id) {
  const job_entry* at = this->deps_.jobs.find(id);
  if (at == nullptr || at->record.ended || !this->isOwn(*at)) co_return;
  job_record record = at->record;
  record.owner = LeaseId();
  record.started = true;
  const fenced_write_result answer = co_await this->deps_.store.putRecord(record, at->revision, {});
  LogEvent("batch", "handed_over")
      .text("batch", id.str())
      .text("outcome", answer.outcome == FencedWriteOutcome::kCommitted ? "done" : "not_done");
  if (answer.outcome == FencedWriteOutcome::kCommitted) {
    this->deps_.jobs.onRow(id, {table::jobKey(id), answer.revision, encodeRecord(record)});
  } else if (answer.current) {
    this->deps_.jobs.onRow(id, *answer.current);
  }
}

}  // namespace linenpier::batch
