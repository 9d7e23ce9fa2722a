#pragma once

/** @file
 * The batch jobs of this daemon: composes the parts of this folder, and polls them.
 *
 * What callers may rely on:
 * - a job is accepted only after it and its row are in the store (`job_acceptance`);
 * - a reader is shown only results that are in the store (`job_reader`);
 * - items are run by the owner alone, as far as it knows (`job_ownership`), and positions are given
 *   only under the job's fence (`job_store`).
 */

#include <functional>
#include <set>

#include "gateway/batch/batch_codec.h"
#include "gateway/batch/batch_options.h"
#include "gateway/batch/checkpoint_writer.h"
#include "gateway/batch/engine_request_builder.h"
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
#include "gateway/suspects/suspect_gate.h"
#include "gateway/tenants/caller.h"
#include "gateway/versions/load_demand.h"

namespace linenpier::batch {

/** Owns every part, and the options that all of them read. Loop thread only. */
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
    suspects::suspect_gate& suspects;
    std::function<routing::RouteTablePtr()> routes;  ///< The newest table; empty before the first.
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

  /** See `job_acceptance` and `job_reader`. */
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
  /** @return whether this daemon knows the job as one that needs no key. */
  bool isPublic(const JobId& id) const;

  /** A job's row, from the feed. */
  void onRecordRow(const JobId& id, const table::Row& row) { this->jobs_.onRow(id, row); }
  void onRecordRemoved(const JobId& id) { this->jobs_.onRemoved(id); }

  /** @return whether readers wait here for results to be published. */
  bool hasWaitingReaders() const { return this->reader_.hasWaitingReaders(); }
  /** @return whether this daemon owns jobs that have not ended. */
  bool ownsOpenJobs() const { return this->ownership_.ownsOpenJobs(); }
  /** @return the work of jobs under way at any daemon. */
  versions::open_work_by_model openWork() const;
  /** @return the engines with runs that the steps of owned jobs wait for. */
  std::set<EngineId> criticalEngines() const { return this->runner_.criticalEngines(); }
  /** Gives up every owned job so that others take it at once. */
  Task<void> handOver();

  const batch_counts& counts() const { return this->counts_; }
  std::size_t jobCount() const { return this->jobs_.size(); }
  /** Owned jobs under way and their items, for the metrics. */
  struct job_workload {
    std::size_t jobs = 0;
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::size_t unscored = 0;
    std::size_t in_closed_zones = 0;     ///< Of those that run.
    std::size_t awaiting_residency = 0;  ///< Jobs of anybody that no daemon within residency takes.
  };
  job_workload workload() const;
  /** @return runs of owned jobs at engines of the zone. */
  std::size_t runsIn(const ZoneName& zone) const { return this->zone_drainer_.runsIn(zone); }

 private:
  Task<void> pollLoop();

  dependencies deps_;
  batch_options options_;
  job_registry jobs_;
  batch_counts counts_;
  job_residency residency_{{deps_.engines.registry, deps_.pool, deps_.routes}};
  engine_request_builder engine_requests_{{residency_, deps_.routes, options_}};
  item_runner runner_{{deps_.loop, deps_.engines, deps_.rewards, deps_.suspects, jobs_,
                       engine_requests_, deps_.routes, counts_, options_}};
  slow_run_mover slow_run_mover_{
      {deps_.engines.registry, jobs_, runner_.lengths(), engine_requests_, deps_.routes, options_}};
  zone_drainer zone_drainer_{
      {deps_.engines.registry, jobs_, runner_.lengths(), engine_requests_, deps_.routes}};
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
