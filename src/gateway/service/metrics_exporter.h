#pragma once

/** @file
 * Collects the state of the gateway's components at a scrape and renders it as metrics.
 */

#include "gateway/batch/batch_service.h"
#include "gateway/http/connection_pool.h"
#include "gateway/http/server.h"
#include "gateway/lease/lease_keeper.h"
#include "gateway/metrics/gateway_metrics.h"
#include "gateway/scaling/scaling_service.h"
#include "gateway/service/cold_engines_monitor.h"
#include "gateway/service/coordination_feed.h"
#include "gateway/service/engine_feed.h"
#include "gateway/service/operator_feed.h"
#include "gateway/suspects/suspect_service.h"
#include "gateway/usage/usage_service.h"
#include "gateway/versions/rollout_service.h"

namespace linenpier::gateway {

/** Used only on the event loop thread. */
class metrics_exporter {
 public:
  struct sources {
    const gateway::operator_feed& operator_feed;
    const gateway::engine_feed& engine_feed;
    const coordination_feed& coordination;
    const engines::engine_registry& engines;
    const cold_engines_monitor& cold_engines;
    const http::ConnectionPool& engine_connections;
    const http::Server& requests;
    const lease::lease_keeper& keeper;
    const batch::batch_service& batches;
    const versions::rollout_service& rollouts;
    const scaling::scaling_service& scaling;
    const usage::usage_service& usage;
    const suspects::suspect_service& suspects;
  };

  metrics_exporter(metrics::GatewayMetrics& metrics, const sources& sources)
      : metrics_(metrics), sources_(sources) {}

  Task<void> handle(http::ResponseWriter& writer);

 private:
  metrics::GatewayState collectState() const;
  void collectFeeds(Instant now, metrics::GatewayState& state) const;
  void collectEngines(Instant now, metrics::GatewayState& state) const;
  void collectJobs(metrics::GatewayState& state) const;
  /** Lease, engine version orders and usage reporting. */
  void collectLeadership(Instant now, metrics::GatewayState& state) const;
  /** Present and ordered engines of scaled services. */
  void collectScaling(metrics::GatewayState& state) const;
  void collectSuspects(Instant now, metrics::GatewayState& state) const;

  metrics::GatewayMetrics& metrics_;
  sources sources_;
};

}  // namespace linenpier::gateway
