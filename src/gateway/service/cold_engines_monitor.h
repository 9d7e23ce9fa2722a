#pragma once

/** @file
 * Updates the cold-engine budget with the number of gateways that may send to recently started
 * engines, logs which engines became cold or warm and which requests were kept from them, and
 * exports metrics. Stateless: the state is in the registry's budget and in the lease table.
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

  /** Updates the number of gateways that share the cold-engine budget.
   * @param owners_wanted target number of gateways that own work.
   * @param owns_work whether this gateway owns work or is a candidate for it.
   */
  void updateSenders(std::size_t owners_wanted, bool owns_work);
  /** Logs changes since the last call.
   * @param feed engine feed; the time of its last answer bounds the age of the known start times.
   */
  void report(Instant now, const table::TableWatcher& feed);
  void collectMetrics(metrics::GatewayState& state, Instant now) const;

 private:
  void logRefusals(std::vector<engines::cold_refusals> refusals) const;

  engines::engine_registry& registry_;
  const lease::lease_table& leases_;
};

}  // namespace linenpier::gateway
