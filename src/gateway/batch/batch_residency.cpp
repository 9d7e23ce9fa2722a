/// @file
/// Jobs that must stay in some regions: who may own them, and how a daemon elsewhere gives them up.

#include <algorithm>

#include "common/event_log.h"
#include "gateway/batch/active_job.h"
#include "gateway/batch/batch_service.h"

namespace linenpier::batch {

using logging::LogEvent;

namespace {

/// A job that is left alone for this long has nobody at home: those who are there take it within a
/// second or two.
constexpr Duration kResidencySilence = std::chrono::seconds(3);
constexpr Duration kWaitLinePeriod = std::chrono::seconds(10);

}  // namespace

bool BatchService::settleResidency(const JobId& id, known_job& job) {
  const bool open = !job.record.ended && job.record.released < job.record.total;
  if (!open || job.activating || stopping_ || job.record.owner != deps_.leases.own()) return true;
  const std::optional<fleet::data_residency> residency = residency_.of(job.record);
  if (!residency) return true;
  const bool within_residency = residency->allows(residency_.ownRegion());
  if (within_residency && !job.resumes_within_residency) return true;
  job.activating = true;
  job.resumes_within_residency = false;
  if (within_residency) {
    spawn(deps_.loop, [this, id] { return resume(id); });
  } else {
    spawn(deps_.loop, [this, id] { return giveUp(id); });
  }
  return false;
}

Task<void> BatchService::giveUp(JobId id) {
  known_job* known = jobs_.find(id);
  if (known == nullptr) co_return;
  const std::optional<fleet::data_residency> residency = residency_.of(known->record);
  LogEvent("batch", "given_up")
      .text("batch", id.str())
      .text("reason", "not_at_home")
      .text("homes", namesOf(residency))
      .text("region", residency_.ownRegion().str());
  ++counts_.given_up_for_residency;
  co_await handOverJob(id);
  known_job* at = jobs_.find(id);
  const bool still_owned = at != nullptr && at->record.owner == deps_.leases.own();
  if (still_owned) {
    // The store did not take it. Homes may change back until it does.
    at->resumes_within_residency = true;
    co_await sleepFor(deps_.loop, options_.store_pause);
  }
  if (known_job* job = jobs_.find(id)) job->activating = false;
}

void BatchService::noteAwaitsResidency(Instant now, const JobId& id, known_job& job) {
  const bool open = job.record.released < job.record.total;
  if (!open || now - job.orphaned_at < kResidencySilence) return;
  ++awaiting_residency_;
  if (now < next_wait_line_) return;
  next_wait_line_ = now + kWaitLinePeriod;
  const std::optional<fleet::data_residency> residency = residency_.of(job.record);
  LogEvent("batch", "waits_for_home")
      .text("batch", id.str())
      .text("homes", namesOf(residency))
      .text("region", residency_.ownRegion().str())
      .text("owner", job.record.owner.str())
      .milliseconds("waits_ms", now - job.orphaned_at);
}

}  // namespace linenpier::batch
