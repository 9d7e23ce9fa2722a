#pragma once

/** @file
 * Runs the version rollouts of the services whose leader locks this daemon holds. Only the leader
 * of a service sends orders to its engines (`version_rollout.h`).
 */

#include <functional>
#include <map>
#include <memory>

#include "gateway/lease/leader_lock.h"
#include "gateway/versions/engine_order_port.h"
#include "gateway/versions/version_rollout.h"

namespace linenpier::versions {

struct rollout_service_options {
  lease::handover_options handover;
  rollout_options rollout;
};

struct rollout_counts {
  std::uint64_t sent = 0;           ///< Orders sent.
  std::uint64_t loads_started = 0;  ///< Orders after which the engine started loading.
  std::uint64_t unanswered = 0;     ///< Orders without a response.
};

/** Runs on the loop thread only; must live as long as the loop runs. */
class rollout_service {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    engines::engine_registry& registry;
    table::AsyncTable& table;
    lease::lease_table& leases;
    lease::lease_keeper& keeper;
    const lease::owner_pool& pool;
    engine_order_port& orders;
    std::function<routing::ConfigurationPtr()> routes;
    std::function<open_work_by_model()> open_work;  ///< Returns the open work of active jobs.
    std::string holder;                             ///< Name of this daemon in orders.
    /// Returns the engines with a run that a step waits for. May be unset.
    std::function<std::set<EngineId>(Instant now)> awaited;
  };
  rollout_service(dependencies deps, rollout_service_options options)
      : deps_(std::move(deps)), options_(options) {}

  void start();
  /** Sets the options for services that are first seen later; known services keep theirs. */
  void setOptions(const rollout_service_options& options) { this->options_ = options; }
  /** Handles the announcement of a model's newest version. */
  void onVersionAnnounced(const ModelName& model, WeightVersion version);
  /** Handles the row of a service's lock from the feed. */
  void onLockRow(const ServiceName& service, const table::Row& row);
  void onLockRemoved(const ServiceName& service);
  /** Records that the table of locks was read and its rows follow: a lock without a row is free. */
  void onTableRead() { this->table_read_ = true; }
  bool holdsAny() const { return this->locksHeld() > 0; }
  std::size_t locksHeld() const;
  /** Releases all locks. */
  void handOver();
  const rollout_counts& counts() const { return this->counts_; }

 private:
  /** A service's lock and the leader's rollout state. */
  struct service_leadership {
    service_leadership(const lease::leader_lock::dependencies& deps, const ServiceName& service,
                       const rollout_service_options& options);

    version_rollout rollout;
    lease::leader_lock lock;
  };
  service_leadership& leadershipOf(const ServiceName& service);
  Task<void> tickLoop();
  void tickService(Instant now, const ServiceName& service);
  Task<void> requestReport(ServiceName service, EngineId engine, Address address);
  Task<void> sendOrder(ServiceName service, version_order order);

  dependencies deps_;
  rollout_service_options options_;
  /// Entries are never removed, because pending tasks refer to them.
  std::map<ServiceName, std::unique_ptr<service_leadership>> services_;
  std::map<ModelName, WeightVersion> newest_versions_;
  rollout_counts counts_;
  bool table_read_ = false;  ///< Whether the table of locks was read.
  bool stopping_ = false;
};

}  // namespace linenpier::versions
