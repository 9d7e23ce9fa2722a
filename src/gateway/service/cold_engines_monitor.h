#pragma once

/** @file
 * Tells the cold-engine limiter how many gateways share the request limit of a recently started
 * (cold) engine, logs which engines became cold or warm and which requests the limiter refused, and
 * exports metrics. The monitor itself has no state: the state is in the limiter and the lease
 * table.
 */

#include <cstddef>
#include <vector>

#include "gateway/engines/engine_registry.h"
#include "gateway/lease/lease_table.h"
#include "gateway/metrics/gateway_metrics.h"
#include "gateway/table/table_watcher.h"

namespace linenpier::gateway {

/** Used only on the event loop thread. */
class cold_engines_monitor {
 public:
  cold_engines_monitor(engines::engine_registry& registry, const lease::lease_table& leases)
      : registry_(registry), leases_(leases) {}

  /** Updates the number of gateways that share the request limit of a cold engine.
   * @param owners_wanted target number of gateways that own jobs or leader locks.
   * @param owns_work whether this gateway owns jobs or leader locks, or is a candidate for them.
   */
  void updateSenders(std::size_t owners_wanted, bool owns_work);
  /** Logs the engines that became cold or warm, and the requests refused, since the last call of
   * this function.
   * @param feed engine feed; the engine records are current as of its last answer.
   */
  void report(Instant now, const table::TableWatcher& feed);
  void collectMetrics(metrics::GatewayState& state, Instant now) const;

 private:
  void logRefusals(std::vector<engines::cold_refusals> refusals) const;

  engines::engine_registry& registry_;
  const lease::lease_table& leases_;
};

}  // namespace linenpier::gateway
