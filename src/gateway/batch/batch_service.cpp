#include "gateway/batch/batch_service.h"

#include <algorithm>

#include "common/event_log.h"
#include "gateway/batch/active_job.h"
#include "gateway/batch/job_rules.h"
#include "gateway/table/store_keys.h"

namespace linenpier::batch {

using logging::LogEvent;

namespace {
/// Between two looks at owned jobs: shorter than an event takes, so that a free slot is not left
/// empty for long.
constexpr Duration kTick = std::chrono::milliseconds(50);
/// The same at a daemon that runs no job and is not the first to take one over. Each look wakes the
/// process, in a large fleet on hundreds of machines.
constexpr Duration kIdleTick = std::chrono::milliseconds(250);
/// A daemon that started just now may have to take up what its earlier life owned.
constexpr Duration kStartTime = std::chrono::seconds(5);

}  // namespace

BatchService::~BatchService() = default;

void BatchService::start() {
  spawn(deps_.loop, [this] { return tickLoop(); });
  removal_.start();
}

bool BatchService::isPublic(const JobId& id) const {
  const known_job* job = jobs_.find(id);
  return job != nullptr && job->record.tenant.empty();
}

bool BatchService::ownsAny() const {
  return std::any_of(jobs_.all().begin(), jobs_.all().end(), [this](const auto& each) {
    return !each.second.record.ended && each.second.record.owner == deps_.leases.own();
  });
}

// --- Rows ---------------------------------------------------------------------------------------

void BatchService::onJobChanged(const JobId& id, known_job& job) {
  const JobRecord* record = &job.record;
  job.orphaned_at = Instant{};
  if (job.active && (record->ended || record->owner != deps_.leases.own())) {
    deactivate(job, record->ended ? "ended" : "taken_by_another");
  } else if (job.active && job.active->fence != job.revision) {
    job.active->fence = job.revision;
  } else if (!job.active && !job.activating && !record->ended && !stopping_ &&
             record->owner == deps_.leases.own()) {
    resumeOwn(id, job);
  } else if (stopping_ && !job.active && !record->ended && record->owner == deps_.leases.own()) {
    // It was given to this daemon before anybody knew that it stops.
    spawn(deps_.loop, [this, id] { return handOverJob(id); });
  }
}

void BatchService::resumeOwn(const JobId& id, known_job& job) {
  // The next look settles whether this daemon is at home for it.
  job.resumes_within_residency = !residency_.mayOwn(job.record);
  if (job.resumes_within_residency) return;
  job.activating = true;
  spawn(deps_.loop, [this, id] { return resume(id); });
}

void BatchService::deactivate(known_job& job, const char* reason) {
  if (!job.active || job.active->stopped) return;
  LogEvent("batch", "job_stopped")
      .text("batch", job.record.id.str())
      .text("reason", reason)
      .number("revision", static_cast<std::int64_t>(job.revision))
      .number("listed", static_cast<std::int64_t>(job.active->listed.size()));
  if (!job.record.ended) ++counts_.lost;
  job.active->stop(steadyNow());
  if (!job.record.ended || job.active->run.allListed()) return;
  // Its unfinished groups may come again in a later job.
  job.active->fence = job.revision;
  const ActivePtr active = job.active;
  spawn(deps_.loop,
        [this, active] { return checkpoints_.write(active, checkpoint_writer::Need::kAlways); });
}

// --- Taking over --------------------------------------------------------------------------------

void BatchService::checkOwners(Instant now) {
  // What may be removed from the store need not be kept in memory.
  const Duration keep = std::min(options_.keep_ended, options_.keep_jobs);
  awaiting_residency_ = 0;
  for (auto& [id, job] : jobs_.all()) {
    if (!settleResidency(id, job)) continue;
    if (job.active && job.active->stopped && job.active->calls.empty() &&
        job.active->scorings.empty() && now - job.active->stopped_at > keep) {
      job.active.reset();
    }
    if (job.record.ended || stopping_ || job.activating) continue;
    if (job.active && !job.active->stopped) continue;
    if (job.record.owner == deps_.leases.own()) {
      // The feed told of a takeover while its answer was waited for, which then did not come. This
      // life never counts as gone, so that nobody else would run the job.
      if (!job.active) resumeOwn(id, job);
      continue;
    }
    if (!deps_.leases.storeHealthy() || !deps_.leases.expired(job.record.owner)) continue;
    if (job.orphaned_at == Instant{}) job.orphaned_at = now;
    if (!residency_.mayOwn(job.record)) {
      noteAwaitsResidency(now, id, job);
      continue;
    }
    const bool own = deps_.leases.isEarlierSelf(job.record.owner);
    // One daemon takes all jobs of a model.
    const std::string& what = job.record.model.empty() ? id.str() : job.record.model.str();
    const Duration delay = own ? Duration::zero() : deps_.pool.takeoverDelay(now, what);
    if (now - job.orphaned_at < delay) continue;
    job.activating = true;
    job.orphaned_at = Instant{};
    const JobId job_id = id;
    spawn(deps_.loop, [this, job_id] { return takeOver(job_id); });
  }
}

Task<void> BatchService::takeOver(JobId id) {
  known_job* known = jobs_.find(id);
  if (known == nullptr) co_return;
  const LeaseId silent = known->record.owner;
  const bool confirmed = co_await deps_.keeper.confirmSilent(silent);
  known_job* at = jobs_.find(id);
  if (at == nullptr) co_return;
  if (!confirmed || at->record.owner != silent) {
    at->activating = false;
    co_return;
  }
  JobRecord record = at->record;
  const Revision fence = at->revision;
  const std::string from = record.owner.str();
  record.owner = deps_.leases.own();
  record.begun = true;
  const Instant sent_at = steadyNow();
  std::vector<table::Put> renewal;
  renewal.push_back(deps_.keeper.renewal());
  const FencedAnswer answer = co_await deps_.store.putRecord(record, fence, std::move(renewal));
  known_job* job = jobs_.find(id);
  if (job == nullptr) co_return;
  LogEvent("batch", "takeover")
      .text("batch", id.str())
      .text("from", from)
      .number("fence", static_cast<std::int64_t>(fence))
      .text("outcome", answer.outcome == FencedOutcome::kDone ? "done" : "not_done");
  if (answer.outcome != FencedOutcome::kDone) {
    job->activating = false;
    if (answer.current) jobs_.onRow(id, *answer.current);
    co_return;
  }
  ++counts_.taken_over;
  deps_.keeper.onRenewed(sent_at);
  if (answer.revision > job->revision) {
    job->record = record;
    job->revision = answer.revision;
  }
  co_await resume(id);
}

/// Continues a job that this daemon owns by the store's word: reads what it is and what is listed.
Task<void> BatchService::resume(JobId id) {
  for (;;) {
    known_job* known = jobs_.find(id);
    if (known == nullptr) break;
    const JobRecord record = known->record;
    if (!residency_.mayOwn(record)) {
      known->resumes_within_residency = true;
      break;
    }
    const auto bytes = co_await deps_.store.getJob(record);
    known_job* at = jobs_.find(id);
    const auto stillOwned = [&] {
      return at != nullptr && !at->record.ended && !stopping_ &&
             at->record.owner == deps_.leases.own();
    };
    if (!stillOwned()) break;
    const auto progress = co_await inherit(at->record);
    const bool whole = bytes.has_value() && progress.has_value();
    at = jobs_.find(id);
    if (!stillOwned()) break;
    if (whole) {
      auto job = deps_.codec.parseJob(id, *bytes);
      if (!job) break;
      const Duration age = std::chrono::milliseconds(progress->clock_ms - at->record.accepted_ms);
      activate(id, std::move(*job), *progress, steadyNow() - std::max(age, Duration::zero()));
      break;
    }
    co_await sleepFor(deps_.loop, options_.store_pause);
  }
  known_job* at = jobs_.find(id);
  if (at != nullptr) at->activating = false;
}

Task<CallResult<StoredProgress>> BatchService::inherit(JobRecord record) {
  StoredProgress progress;
  if (!record.begun) {
    progress.clock_ms = deps_.keeper.storeClock(steadyNow());
    co_return progress;
  }
  co_return co_await deps_.store.getProgress(record.id);
}

void BatchService::activate(const JobId& id, BatchJob parsed, const StoredProgress& progress,
                            Instant accepted_at) {
  known_job& job = jobs_.obtain(id);
  job.active = std::make_shared<Active>(deps_.loop, job.record, std::move(parsed), RunRules{},
                                        options_.listing);
  job.active->fence = job.revision;
  job.active->accepted_at = accepted_at;
  applyRules(*job.active, deps_.routes());
  for (const StoredResult& each : progress.results) {
    if (each.item_index < job.active->run.job().items.size()) {
      job.active->run.onAlreadyListed(each.item_index);
    }
    job.active->listed.push_back(each);
  }
  job.active->released = std::min(job.record.released, job.active->listed.size());
  for (std::size_t i = job.active->released; i < job.active->listed.size(); ++i) {
    job.active->held_back_bytes += job.active->listed[i].encoded.size();
  }
  job.active->checkpoint_first_row = progress.checkpoint.first_row;
  job.active->checkpoint_next_row = progress.checkpoint.next_row;
  for (const ItemCheckpoint& kept : progress.checkpoint.texts) {
    if (kept.item_index >= job.active->run.job().items.size()) continue;
    job.active->run.onCheckpoint(kept.item_index, kept);
  }
  LogEvent("batch", "job_active")
      .text("batch", id.str())
      .text("model", job.record.model.str())
      .number("step", static_cast<std::int64_t>(job.active->run.job().step.value_or(0)))
      .number("desired_groups", static_cast<std::int64_t>(job.active->run.job().desired_groups))
      .number("fence", static_cast<std::int64_t>(job.active->fence))
      .number("items", static_cast<std::int64_t>(job.record.total))
      .number("listed", static_cast<std::int64_t>(progress.results.size()))
      .number("checkpoint", static_cast<std::int64_t>(progress.checkpoint.texts.size()))
      .number("minimum_version", static_cast<std::int64_t>(job.active->run.job().minimum_version));
  const ActivePtr active = job.active;
  results_.start(active);
  checkpoints_.start(active);
  reuse_.start(active);
  runner_.startRunnableItems();
}

Task<void> BatchService::tickLoop() {
  const Instant begun = steadyNow();
  for (;;) {
    const bool idle = !deps_.pool.offers() && !ownsAny() && steadyNow() - begun > kStartTime;
    co_await sleepFor(deps_.loop, idle ? kIdleTick : kTick);
    const Instant now = steadyNow();
    checkOwners(now);
    for (auto& [id, job] : jobs_.all()) {
      if (!job.active || job.active->stopped) continue;
      applyRules(*job.active, deps_.routes());
      if (job.active->run.onTick(now)) job.active->finished.notifyAll();
    }
    closed_zone_mover_.leaveClosedZones(now);
    slow_run_mover_.moveSlowRuns(now);
    runner_.startRunnableItems();
  }
}

BatchService::Work BatchService::work() const {
  Work work;
  work.awaiting_residency = awaiting_residency_;
  for (const auto& [id, job] : jobs_.all()) {
    if (!job.active || job.active->stopped) continue;
    ++work.jobs;
    work.waiting += job.active->run.waiting();
    work.running += job.active->run.running();
    work.unscored += job.active->run.unscored();
  }
  for (const auto& [zone, revision] : deps_.engines.registry.closedZones().all()) {
    work.in_closed_zones += closed_zone_mover_.runsIn(zone);
  }
  return work;
}

versions::open_work_by_model BatchService::openWork() const {
  versions::open_work_by_model work;
  for (const auto& [id, job] : jobs_.all()) {
    if (job.record.ended || job.record.model.empty()) continue;
    versions::open_work& open = work[job.record.model];
    open.items += job.record.total;
    const routing::RouteTablePtr table = deps_.routes();
    const routing::Route* route = routeOf(job.record, table);
    if (route != nullptr && route->single_version) open.single_version = true;
  }
  return work;
}

Task<void> BatchService::handOver() {
  stopping_ = true;
  reader_.stop();
  removal_.stop();
  std::vector<JobId> owned;
  for (auto& [id, job] : jobs_.all()) {
    if (!job.record.ended && job.record.owner == deps_.leases.own()) owned.push_back(id);
  }
  for (const JobId& id : owned) {
    co_await handOverJob(id);
  }
}

Task<void> BatchService::handOverJob(JobId id) {
  known_job* at = jobs_.find(id);
  if (at == nullptr || at->record.owner != deps_.leases.own()) co_return;
  JobRecord record = at->record;
  record.owner = LeaseId();
  record.begun = true;
  const Revision fence = at->revision;
  const ActivePtr active = at->active;
  if (active && !active->stopped) {
    active->stop(steadyNow());
    // Also where one was sent just now: it may come too late, after the job was given up.
    co_await checkpoints_.write(active, checkpoint_writer::Need::kAlways);
  }
  const FencedAnswer answer = co_await deps_.store.putRecord(record, fence, {});
  LogEvent("batch", "handed_over")
      .text("batch", id.str())
      .text("outcome", answer.outcome == FencedOutcome::kDone ? "done" : "not_done");
  if (answer.outcome == FencedOutcome::kDone) {
    jobs_.onRow(id, {table::jobKey(id), answer.revision, encodeRecord(record)});
  }
}

}  // namespace linenpier::batch
