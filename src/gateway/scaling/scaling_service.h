#pragma once

/** @file
 * Scales the engines of all services through the platform. Runs at one daemon, the holder of a
 * leader lock.
 *
 * An order is first written to the service's row, conditional on the lock still being held, and
 * then sent, so that the next leader starts from the last order. A leader makes no decision before
 * it has read the rows and its list of engines has been up to date for the settle time.
 */

#include <functional>
#include <optional>

#include "gateway/engines/engine_registry.h"
#include "gateway/lease/leader_lock.h"
#include "gateway/scaling/peak_demand.h"
#include "gateway/scaling/scaling_policy.h"
#include "gateway/scaling/scaling_port.h"

namespace linenpier::scaling {

struct scaling_totals {
  std::uint64_t sent = 0;
  /// Orders refused for lack of capacity, a newer token or rate limiting.
  std::uint64_t refused = 0;
  std::uint64_t unanswered = 0;
};

/** Runs on the loop thread only; must live as long as the loop runs. */
class scaling_service {
 public:
  /** @return the requests that an engine reports as running or waiting; nothing without a response.
   */
  using load_query = std::function<Task<std::optional<std::uint32_t>>(EngineId, Address)>;

  struct dependencies {
    lease::leader_lock::dependencies lock;
    scaling_port& port;
    std::string holder;  ///< Name of this daemon in orders.
    const engines::engine_registry& registry;
    std::function<routing::ConfigurationPtr()> routes;
    /// Returns the number of items of open jobs that a service should run.
    std::function<std::size_t(const ServiceName&)> open_items;
    std::function<bool()> engine_list_current;  ///< Whether the list of engines is up to date.
    load_query load;
  };
  scaling_service(dependencies deps, const scaling_options& options,
                  const lease::handover_options& handover);

  void start();
  /** Handles the row of the scaling lock from the feed. */
  void onLockRow(const table::Row& row) { this->lock_.onRow(row); }
  void onLockRemoved() { this->lock_.onRowRemoved(); }
  /** Records that the table of locks was read, after which a lock without a row is free. */
  void onTableRead() { this->table_read_ = true; }
  bool holdsLock() const { return this->lock_.held(); }
  void handOver();
  const scaling_totals& totals() const { return this->totals_; }
  /** @return the last order for each group, by service; empty unless this daemon is the leader. */
  std::map<ServiceName, fleet::group_counts> ordered() const;

 private:
  struct service_state {
    Revision revision = 0;  ///< Revision of the service's row; 0: there is no row.
    scaling_policy policy;
    peak_demand demand;
  };

  Task<void> lockLoop();
  Task<void> orderLoop();
  /** Takes the next action that is due for each service. */
  Task<void> decideAll();
  Task<void> decideFor(routing::Service service);
  /** @return whether all services' rows were read and this daemon is still the leader. */
  Task<bool> readRecords();
  /** @return whether the list of engines has been up to date for the settle time. */
  bool engineListSettled(Instant now);
  scaling_view viewOf(const routing::Service& service, peak_demand& demand) const;
  Task<void> writeBaseline(ServiceName name, scaling_record learned);
  /** Writes the service's row, conditional on the lock being held. @return whether it was
   * committed.
   */
  Task<bool> writeRecord(ServiceName name, scaling_record record);
  /** Stores an order and sends it; a scale-down only if the zone is quiet. */
  Task<void> carryOut(ServiceName name, scaling_decision decision);
  Task<void> send(ServiceName name, scaling_decision decision, FencingToken token);
  /** @return whether all engines of the zone responded and their load is low. */
  Task<bool> zoneIsQuiet(ServiceName name, ZoneName zone);

  dependencies deps_;
  scaling_options options_;
  lease::leader_lock lock_;
  scaling_totals totals_;
  /// Whether `services_` matches the services' rows in the store. False at a new leader and after a
  /// write with an unknown outcome; no decision is made before the rows have been read.
  bool records_read_ = false;
  std::map<ServiceName, service_state> services_;
  /// Since when the list of engines is up to date; zero: the list is outdated.
  Instant list_current_since_{};
  bool table_read_ = false;
};

}  // namespace linenpier::scaling
