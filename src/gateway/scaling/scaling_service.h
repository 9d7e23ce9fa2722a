#pragma once

/** @file
 * Orders from the platform as many engines as each service should have. One daemon, the leader of
 * one lock, does so for all services.
 *
 * An order is written to the service's row first, under the condition that the lock is still held,
 * and then sent. So the next leader starts from the last order. It decides nothing before it has
 * read the rows and before its list of engines has been up to date for a while.
 */

#include <functional>
#include <optional>

#include "gateway/engines/engine_registry.h"
#include "gateway/lease/leader_lock.h"
#include "gateway/scaling/peak_demand.h"
#include "gateway/scaling/scaling_policy.h"
#include "gateway/scaling/scaling_port.h"
#include "gateway/versions/load_demand.h"

namespace linenpier::scaling {

struct scaling_totals {
  std::uint64_t sent = 0;
  std::uint64_t refused = 0;  ///< The platform has none, or there were too many calls.
  std::uint64_t unanswered = 0;
};

/** Loop thread only. Lives as long as the loop runs. */
class scaling_service {
 public:
  /** @return requests that an engine reports to have; nothing if it did not answer. */
  using load_query = std::function<Task<std::optional<std::uint32_t>>(EngineId, Address)>;

  struct dependencies {
    lease::leader_lock::dependencies lock;
    scaling_port& port;
    std::string holder;  ///< Name of this daemon in orders.
    const engines::engine_registry& registry;
    std::function<routing::RouteTablePtr()> routes;
    std::function<versions::open_work_by_model()> open_work;  ///< Of jobs under way.
    std::function<bool()> engines_followed;  ///< Whether the list of engines is up to date.
    load_query load;
  };
  scaling_service(dependencies deps, const scaling_options& options,
                  const lease::handover_options& handover);

  void start();
  /** The row of the lock, as the feed shows it. */
  void onLockRow(const table::Row& row) { this->lock_.onRow(row); }
  void onLockRemoved() { this->lock_.onRowRemoved(); }
  /** The table of locks was read: if the lock's row was not in it, there is none. */
  void onTableRead() { this->table_read_ = true; }
  bool holdsLock() const { return this->lock_.held(); }
  Task<void> handOver();
  const scaling_totals& totals() const { return this->totals_; }
  /** @return the last order for each group, by service; empty unless this daemon is the leader. */
  std::map<ServiceName, fleet::group_counts> ordered() const;

 private:
  struct service_state {
    Revision revision = 0;  ///< Of the service's row; 0: there is none.
    scaling_policy policy;
    peak_demand work;
  };

  Task<void> lockLoop();
  Task<void> orderLoop();
  /** Does the next thing that is due for each service. */
  Task<void> decideAll();
  Task<void> decideFor(routing::Service service);
  /** @return whether the rows of all services were read and this daemon is still the leader. */
  Task<bool> readRecords();
  /** @return whether the list of engines has been up to date for long enough. */
  bool engineListSettled(Instant now);
  scaling_view viewOf(const routing::Service& service, peak_demand& work) const;
  Task<void> writeBaseline(ServiceName name, scaling_record learned);
  /** Writes the service's row under the lock. @return whether the store took it. */
  Task<bool> writeRecord(ServiceName name, scaling_record record);
  /** Writes an order down and sends it; one for fewer engines only if the zone is quiet. */
  Task<void> carryOut(ServiceName name, scaling_decision decision);
  Task<void> send(ServiceName name, scaling_decision decision, FencingToken token);
  /** @return whether the engines of a zone all answered and have little to do. */
  Task<bool> zoneIsQuiet(ServiceName name, ZoneName zone);

  dependencies deps_;
  scaling_options options_;
  lease::leader_lock lock_;
  scaling_totals totals_;
  /// Whether `services_` holds what the rows say. Not at a new leader, nor after a write whose
  /// outcome is not known: then nothing is decided before the rows were read.
  bool records_read_ = false;
  std::map<ServiceName, service_state> services_;
  Instant followed_since_{};  ///< The list of engines is up to date since then; zero: it is not.
  bool table_read_ = false;
};

}  // namespace linenpier::scaling
