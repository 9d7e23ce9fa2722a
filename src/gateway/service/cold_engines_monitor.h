#pragma once

/** @file
 * Keeps the budget of cold engines informed and reports on it: how many gateways may send to them,
 * which engines turned cold or warm, and which requests they were kept from. Owns no state; relies
 * on the registry's budget, on the leases that tell which gateways live, and on the feed of
 * engines.
 */

#include <cstddef>
#include <vector>

#include "gateway/engines/engine_registry.h"
#include "gateway/lease/lease_table.h"
#include "gateway/metrics/gateway_metrics.h"
#include "gateway/table/table_watcher.h"

namespace linenpier::gateway {

/** Loop thread only. */
class cold_engines_monitor {
 public:
  cold_engines_monitor(engines::engine_registry& registry, const lease::lease_table& leases)
      : registry_(registry), leases_(leases) {}

  /** Tells the budget which gateways may send to cold engines.
   * @param owners_wanted gateways that are to offer to own work.
   * @param owns_work whether this gateway owns work or offers to.
   */
  void updateSenders(std::size_t owners_wanted, bool owns_work);
  /** Logs what changed since the last call.
   * @param feed of the engines: what it last answered bounds how old a known start may be.
   */
  void report(Instant now, const table::TableWatcher& feed);
  void collectMetrics(metrics::GatewayState& state, Instant now) const;

 private:
  void logRefusals(std::vector<engines::cold_refusals> refusals) const;

  engines::engine_registry& registry_;
  const lease::lease_table& leases_;
};

}  // namespace linenpier::gateway
