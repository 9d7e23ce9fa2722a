#pragma once

/** @file
 * Entry point to the batch jobs of this daemon: owns the components of this folder, forwards calls
 * to them, and runs their periodic checks.
 *
 * Guarantees to callers:
 * - a job is accepted only after the job and its row are stored (`job_acceptance`);
 * - readers see only results that are stored (`job_reader`);
 * - a daemon runs the items of a job only while the newest row that it knows names it as the owner
 *   (`job_ownership`), and results are stored only under the job's fence (`job_store`).
 */

#include <functional>
#include <set>

#include "gateway/batch/batch_codec.h"
#include "gateway/batch/batch_options.h"
#include "gateway/batch/checkpoint_writer.h"
#include "gateway/batch/engine_requirements_builder.h"
#include "gateway/batch/item_runner.h"
#include "gateway/batch/job_acceptance.h"
#include "gateway/batch/job_activation.h"
#include "gateway/batch/job_ownership.h"
#include "gateway/batch/job_reader.h"
#include "gateway/batch/job_registry.h"
#include "gateway/batch/job_removal.h"
#include "gateway/batch/job_residency.h"
#include "gateway/batch/job_store.h"
#include "gateway/batch/partial_result_reuse.h"
#include "gateway/batch/result_writer.h"
#include "gateway/batch/slow_run_mover.h"
#include "gateway/batch/zone_drainer.h"
#include "gateway/forward/engine_call.h"
#include "gateway/forward/internal_requests.h"
#include "gateway/http/server.h"
#include "gateway/lease/lease_keeper.h"
#include "gateway/lease/lease_table.h"
#include "gateway/lease/owner_pool.h"
#include "gateway/tenants/caller.h"
#include "gateway/versions/load_demand.h"

namespace linenpier::batch {

/** Owns all components and their options. The class must be used from the event loop thread only.
 */
class batch_service {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    forward::engine_call_context engines;
    job_store& store;
    lease::lease_table& leases;
    lease::lease_keeper& keeper;
    const lease::owner_pool& pool;
    const batch_codec& codec;
    forward::internal_requests& rewards;
    routing::weighted_round_robin& round_robin;
    /// Returns the newest routing table; null before the first one is loaded.
    std::function<routing::ConfigurationPtr()> routes;
  };

  batch_service(dependencies deps, batch_options options) : deps_(std::move(deps)) {
    this->setOptions(options);
    this->jobs_.setListener(
        [this](const JobId& id, job_entry& job) { this->ownership_.onJobChanged(id, job); });
  }

  void start();
  void setOptions(const batch_options& options) {
    this->options_ = options;
    this->zone_drainer_.setOptions(options.zone_drain);
  }

  /** Handlers of API calls; described in `job_acceptance` and `job_reader`. */
  Task<void> submit(const routing::Route& route, tenants::caller from, const http::Request& request,
                    Instant received, http::ResponseWriter& writer) {
    return this->acceptance_.submit(route, std::move(from), request, received, writer);
  }
  Task<void> readResults(JobId id, tenants::caller from, std::size_t position, Duration wait,
                         http::ResponseWriter& writer) {
    return this->reader_.readResults(std::move(id), std::move(from), position, wait, writer);
  }
  Task<void> readItem(JobId id, tenants::caller from, ItemId item, http::ResponseWriter& writer) {
    return this->reader_.readItem(std::move(id), std::move(from), std::move(item), writer);
  }
  Task<void> end(JobId id, tenants::caller from, http::ResponseWriter& writer) {
    return this->acceptance_.end(std::move(id), std::move(from), writer);
  }
  /** @return whether the job is known and may be accessed without a key. */
  bool isPublic(const JobId& id) const;

  /** Called when the feed of job rows reports a new row. */
  void onRecordRow(const JobId& id, const table::Row& row) { this->jobs_.onRow(id, row); }
  void onRecordRemoved(const JobId& id) { this->jobs_.onRemoved(id); }

  /** @return whether readers wait at this daemon for results to be published. */
  bool hasWaitingReaders() const { return this->reader_.hasWaitingReaders(); }
  /** @return whether this daemon owns jobs that have not ended. */
  bool ownsOpenJobs() const { return this->ownership_.ownsOpenJobs(); }
  /** @return the number of items in jobs that have not ended, by model. Counts all known jobs,
   *     including those of other owners.
   */
  versions::open_work_by_model openWork() const;
  /** @return the service's share, by the weights of the routes, of the items in known jobs that
   * have not ended.
   */
  std::size_t openItemsOf(const ServiceName& service) const;
  /** @return the engines that run the longest remaining items of owned jobs. These items determine
   *     when the jobs' steps end.
   */
  std::set<EngineId> criticalEngines() const { return this->runner_.criticalEngines(); }
  /** Starts to release all owned jobs, so that other daemons can take them over at once.
   * `ownsOpenJobs` returns false when this is complete. @param until when this daemon ends.
   */
  void handOver(Instant until);

  const batch_counts& counts() const { return this->counts_; }
  std::size_t jobCount() const { return this->jobs_.size(); }
  /** Running jobs of this daemon and their items, for the metrics. */
  struct job_workload {
    std::size_t jobs = 0;
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::size_t unscored = 0;
    std::size_t in_closed_zones = 0;  ///< Runs on engines of closed zones; included in `running`.
    /// Known jobs that are waiting for a daemon within their residency to take them over.
    std::size_t awaiting_owner = 0;
  };
  job_workload workload() const;
  /** @return the number of runs of owned jobs on engines of the zone. */
  std::size_t runsIn(const ZoneName& zone) const { return this->zone_drainer_.runsIn(zone); }

 private:
  Task<void> pollLoop();

  dependencies deps_;
  batch_options options_;
  job_registry jobs_;
  batch_counts counts_;
  job_residency residency_{{deps_.engines.registry, deps_.pool, deps_.routes}};
  engine_requirements_builder engine_requirements_{
      {residency_, deps_.routes, deps_.round_robin, options_}};
  item_runner runner_{{deps_.loop, deps_.engines, deps_.rewards, jobs_, engine_requirements_,
                       deps_.routes, counts_, options_}};
  slow_run_mover slow_run_mover_{{deps_.engines.registry, jobs_, runner_.lengths(),
                                  engine_requirements_, deps_.routes, options_}};
  zone_drainer zone_drainer_{
      {deps_.engines.registry, jobs_, runner_.lengths(), engine_requirements_, deps_.routes}};
  result_writer results_{
      {deps_.loop, deps_.store, deps_.leases, deps_.codec, jobs_, counts_, options_}};
  checkpoint_writer checkpoints_{{deps_.loop, deps_.store, options_}};
  partial_result_reuse reuse_{{deps_.loop, deps_.store, deps_.codec, jobs_, residency_, options_,
                               [this] { this->runner_.startRunnableItems(); }}};
  job_activation activation_{
      {deps_.loop, jobs_, results_, checkpoints_, reuse_, runner_, deps_.routes, options_}};
  job_ownership ownership_{{deps_.loop, deps_.store, deps_.leases, deps_.keeper, deps_.pool,
                            deps_.codec, jobs_, residency_, checkpoints_, activation_, counts_,
                            options_}};
  job_acceptance acceptance_{{deps_.loop, deps_.store, deps_.leases, deps_.keeper, deps_.pool,
                              deps_.engines.registry, deps_.codec, deps_.engines.names, jobs_,
                              residency_, activation_, deps_.routes, counts_, options_}};
  job_reader reader_{
      {deps_.loop, deps_.store, deps_.leases, deps_.codec, deps_.engines.names, jobs_, options_}};
  job_removal removal_{{deps_.loop, deps_.store, deps_.leases, deps_.keeper, jobs_, options_}};
};

}  // namespace linenpier::batch
