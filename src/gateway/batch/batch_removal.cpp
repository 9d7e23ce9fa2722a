/// @file
/// Removal of jobs that have ended and that nobody may ask for any more.

#include "common/event_log.h"
#include "gateway/batch/active_job.h"
#include "gateway/batch/batch_service.h"

namespace linenpier::batch {

using logging::LogEvent;

std::optional<JobId> BatchService::nextToRemove(Instant now) const {
  const std::int64_t clock_ms = deps_.keeper.storeClock(now);
  if (clock_ms == 0 || !deps_.leases.storeHealthy()) return std::nullopt;
  for (const auto& [id, job] : jobs_.all()) {
    if (!job.record.ended || job.active) continue;
    const Duration age = std::chrono::milliseconds(clock_ms - job.record.accepted_ms);
    const bool own = job.record.owner == deps_.leases.own();
    if (age > options_.keep_jobs + (own ? Duration::zero() : options_.removal_delay)) return id;
  }
  return std::nullopt;
}

Task<void> BatchService::removalLoop() {
  while (!stopping_) {
    // Daemons that look at the same moment would do the same work.
    const Duration removal_delay = deps_.leases.takeoverDelay(steadyNow(), "removal");
    co_await sleepFor(deps_.loop, options_.removal_period + 5 * removal_delay);
    const auto id = nextToRemove(steadyNow());
    if (!id) continue;
    const Revision revision = jobs_.find(*id)->revision;
    const bool done = co_await deps_.store.removeJob(*id, revision);
    if (done) jobs_.onRemoved(*id);
    LogEvent("batch", "job_removed")
        .text("batch", id->str())
        .number("revision", static_cast<std::int64_t>(revision))
        .text("outcome", done ? "done" : "not_done");
  }
}

}  // namespace linenpier::batch
