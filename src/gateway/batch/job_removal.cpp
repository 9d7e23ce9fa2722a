#include "gateway/batch/job_removal.h"

#include "common/event_log.h"

namespace linenpier::batch {

using logging::LogEvent;

namespace {
/// Multiple of this daemon's takeover delay that is added to the poll interval. The delays differ,
/// so that the daemons do not all remove the same jobs.
constexpr int kTakeoverDelayFactor = 5;
}  // namespace

void job_removal::start() {
  spawn(this->deps_.loop, [this] { return this->removalLoop(); });
}

std::optional<JobId> job_removal::nextToRemove(Instant now) const {
  const std::int64_t clock_ms = this->deps_.keeper.storeClock(now);
  if (clock_ms == 0 || !this->deps_.leases.storeHealthy()) return std::nullopt;
  const batch_options& options = this->deps_.options;
  for (const auto& [id, job] : this->deps_.jobs.all()) {
    if (!job.record.ended || job.active) continue;
    const Duration age = std::chrono::milliseconds(clock_ms - job.record.accepted_ms);
    const bool own = job.record.owner == this->deps_.leases.own();
    const Duration delay = own ? Duration::zero() : options.removal_delay;
    if (age > options.job_retention + delay) return id;
  }
  return std::nullopt;
}

Task<void> job_removal::removalLoop() {
  while (!this->stopping_) {
    const Duration own_delay = this->deps_.leases.takeoverDelay(steadyNow(), "removal");
    co_await sleepFor(this->deps_.loop,
                      this->deps_.options.removal_period + kTakeoverDelayFactor * own_delay);
    const auto id = this->nextToRemove(steadyNow());
    if (!id) continue;
    const Revision revision = this->deps_.jobs.find(*id)->revision;
    const bool done = co_await this->deps_.store.removeJob(*id, revision);
    if (done) this->deps_.jobs.onRemoved(*id);
    LogEvent("batch", "job_removed")
        .text("batch", id->str())
        .number("revision", static_cast<std::int64_t>(revision))
        .text("outcome", done ? "done" : "not_done");
  }
}

}  // namespace linenpier::batch
