#pragma once

/** @file
 * Orders from the platform as many engines as a service should have. One daemon, the holder of the
 * right, does so for all services.
 *
 * What is ordered is written down first, under the condition that the right is still held, and then
 * sent. So a next holder starts from the last order. It decides nothing before it has read that and
 * has known for a while which engines are there.
 */

#include <functional>
#include <optional>

#include "gateway/engines/engine_registry.h"
#include "gateway/lease/leader_lock.h"
#include "gateway/scaling/scaling_policy.h"
#include "gateway/scaling/scaling_port.h"
#include "gateway/versions/load_demand.h"

namespace linenpier::scaling {

struct scaling_totals {
  std::uint64_t sent = 0;
  std::uint64_t refused = 0;  ///< None to be had, or too many calls.
  std::uint64_t unanswered = 0;
};

/** Loop thread only. */
class scaling_service {
 public:
  /** @return requests that an engine has, by its own account; nothing if it did not answer. */
  using ask_load = std::function<Task<std::optional<std::uint32_t>>(EngineId, Address)>;

  struct dependencies {
    lease::leader_lock::dependencies right;
    scaling_port& port;
    std::string holder;  ///< Name that orders carry.
    const engines::engine_registry& registry;
    std::function<routing::RouteTablePtr()> routes;
    std::function<versions::open_work_by_model()> open_work;  ///< Of jobs under way.
    std::function<bool()> engines_followed;  ///< Whether the list of engines is up to date.
    ask_load load;
  };
  scaling_service(dependencies deps, const scaling_options& options,
                  const lease::handover_rules& handover);

  void start();
  void onRightRow(const table::Row& row) { this->lock_.onRow(row); }
  void onRightGone() { this->lock_.onGone(); }
  /** The table was read: unless told, there is no row of the right. */
  void onTableRead() { this->table_read_ = true; }
  bool holdsRight() const { return this->lock_.held(); }
  Task<void> handOver();
  const scaling_totals& totals() const { return this->totals_; }
  /** @return the last order for each group, by service; empty unless this daemon decides. */
  std::map<ServiceName, fleet::group_counts> ordered() const;

 private:
  /** A service whose engines are counted. */
  struct service_state {
    Revision revision = 0;  ///< Of its row; 0: there is none.
    scaling_policy policy;
    work_peak work;
  };

  Task<void> rightLoop();
  Task<void> orderLoop();
  /** Does the next thing that is due for each service. */
  Task<void> orderNext();
  /** @return whether the last orders of all services are known. */
  Task<bool> readRecords();
  bool engineListSettled(Instant now);
  scaling_view look(const routing::Service& service, work_peak& work) const;
  Task<void> attend(routing::Service service);
  /** Writes the service's record under the right. @return whether the store took it. */
  Task<bool> writeRecord(ServiceName name, scaling_record record);
  Task<void> carryOut(ServiceName name, count_decision decision);
  /** @return whether the engines of a zone have little to do. */
  Task<bool> quiet(ServiceName name, ZoneName zone);

  dependencies deps_;
  scaling_options options_;
  lease::leader_lock lock_;
  scaling_totals totals_;
  /** Empty while this holder has not read the rows. */
  std::optional<std::map<ServiceName, table::Row>> rows_;
  std::map<ServiceName, service_state> services_;
  Instant followed_since_{};  ///< The list of engines is up to date since then; zero: it is not.
  bool table_read_ = false;
};

}  // namespace linenpier::scaling
