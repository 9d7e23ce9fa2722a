#include "gateway/batch/batch_service.h"

#include <cmath>

#include "gateway/batch/active_job.h"
#include "gateway/batch/job_rules.h"

namespace linenpier::batch {

namespace {
/// Poll interval of a daemon that owns open jobs or is a candidate for owning jobs.
constexpr Duration kPollInterval = std::chrono::milliseconds(50);
/// Poll interval of a daemon that owns no open job and is not a candidate for owning jobs. Limits
/// wakeups in large fleets.
constexpr Duration kIdlePollInterval = std::chrono::milliseconds(250);
/// Time after its start for which a daemon uses the short poll interval in any case, since it may
/// have to resume jobs that it owned before.
constexpr Duration kStartupTime = std::chrono::seconds(5);
}  // namespace

void batch_service::start() {
  spawn(this->deps_.loop, [this] { return this->pollLoop(); });
  this->removal_.start();
}

bool batch_service::isPublic(const JobId& id) const {
  const job_entry* job = this->jobs_.find(id);
  return job != nullptr && job->record.tenant.empty();
}

Task<void> batch_service::pollLoop() {
  const Instant start_time = steadyNow();
  for (;;) {
    const bool idle = !this->deps_.pool.isCandidate() && !this->ownership_.ownsOpenJobs() &&
                      steadyNow() - start_time > kStartupTime;
    co_await sleepFor(this->deps_.loop, idle ? kIdlePollInterval : kPollInterval);
    const Instant now = steadyNow();
    this->ownership_.checkOwners(now);
    for (auto& [id, job] : this->jobs_.all()) {
      if (!job.active || job.active->stopped) continue;
      applyRules(*job.active, this->deps_.routes());
      if (job.active->run.terminateExpired(now)) job.active->results_ready.notifyAll();
    }
    this->zone_drainer_.drainClosedZones(now);
    this->slow_run_mover_.moveSlowRuns(now);
    this->runner_.startRunnableItems();
  }
}

batch_service::job_workload batch_service::workload() const {
  job_workload workload;
  workload.awaiting_owner = this->ownership_.awaitingOwner();
  for (const auto& [id, job] : this->jobs_.all()) {
    if (!job.active || job.active->stopped) continue;
    ++workload.jobs;
    workload.waiting += job.active->run.waiting();
    workload.running += job.active->run.running();
    workload.unscored += job.active->run.unscored();
  }
  for (const auto& [zone, revision] : this->deps_.engines.registry.closedZones().all()) {
    workload.in_closed_zones += this->zone_drainer_.runsIn(zone);
  }
  return workload;
}

versions::open_work_by_model batch_service::openWork() const {
  versions::open_work_by_model workload;
  for (const auto& [id, job] : this->jobs_.all()) {
    if (job.record.ended || job.record.model.empty()) continue;
    versions::open_work& open = workload[job.record.model];
    open.items += job.record.total;
    const routing::ConfigurationPtr table = this->deps_.routes();
    const routing::Route* route = routeOf(job.record, table);
    if (route != nullptr && route->single_version) open.single_version = true;
  }
  return workload;
}

std::size_t batch_service::openItemsOf(const ServiceName& service) const {
  const routing::ConfigurationPtr table = this->deps_.routes();
  double items = 0;
  for (const auto& [id, job] : this->jobs_.all()) {
    if (job.record.ended || job.record.model.empty()) continue;
    const routing::Route* route = routeOf(job.record, table);
    if (route != nullptr) items += static_cast<double>(job.record.total) * route->shareOf(service);
  }
  return static_cast<std::size_t>(std::ceil(items));
}

void batch_service::handOver(Instant until) {
  this->acceptance_.stop();
  this->reader_.stop();
  this->removal_.stop();
  this->ownership_.handOver(until);
}

}  // namespace linenpier::batch
