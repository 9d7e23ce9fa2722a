#pragma once

/** @file
 * Composition root of the gateway process: creates the components, starts and stops them, and
 * reports readiness.
 */

#include <memory>

#include "gateway/batch/batch_service.h"
#include "gateway/forward/forwarder.h"
#include "gateway/lease/lease_poller.h"
#include "gateway/metrics/gateway_metrics.h"
#include "gateway/scaling/scaling_service.h"
#include "gateway/service/closed_zones_monitor.h"
#include "gateway/service/cold_engines_monitor.h"
#include "gateway/service/coordination_feed.h"
#include "gateway/service/engine_feed.h"
#include "gateway/service/gateway_settings.h"
#include "gateway/service/metrics_exporter.h"
#include "gateway/service/operator_feed.h"
#include "gateway/service/owner_demand.h"
#include "gateway/service/peer_exchange.h"
#include "gateway/service/platform_port.h"
#include "gateway/service/request_dispatcher.h"
#include "gateway/service/store_monitor.h"
#include "gateway/suspects/suspect_service.h"
#include "gateway/usage/usage_service.h"

namespace linenpier::gateway {

/** Used only on the event loop thread. */
class Gateway {
 public:
  /** @param engine_pool connection pool for engines and peers. */
  Gateway(boost::asio::io_context& loop, const GatewaySettings& settings, PlatformPort& platform,
          http::ConnectionPool& engine_pool, metrics::GatewayMetrics& metrics, std::uint64_t seed);

  /** Opens the listening sockets and starts watching the store.
   * @return findings if a required address cannot be bound.
   */
  Findings start();
  /** Applies the settings that can change at run time, and logs whether any other changed setting
   * needs a restart.
   */
  void applySettings(const GatewaySettings& changed);
  /** Starts a graceful shutdown, which stops the event loop when complete. */
  void stop();

  /** @return whether the configuration, the engines and the suspect requests are loaded and no
   *     shutdown has started.
   */
  bool ready() const;
  bool stopping() const { return this->stopping_; }
  /** @return whether both the lease reads and the coordination feed succeed. */
  bool storeReachable() const { return this->leases_.storeHealthy(); }
  Address requestAddress() const { return this->request_server_.address(); }
  Address peerAddress() const { return this->peer_server_.address(); }
  Address metricsAddress() const { return this->metrics_server_.address(); }

 private:
  /** Starts listening for metrics scrapes and peers. A failure to bind is only logged; the gateway
   * then serves requests without that listener.
   */
  void listenForMetricsAndPeers();
  void onConfiguration(const routing::Configuration& configuration);
  void onLeasesRead(bool answered);
  void updateColdSenders();
  /** @return whether this gateway owns jobs or leader locks, or is a candidate for owning them. */
  bool ownsWork() const;
  /** @return whether this gateway owns jobs or leader locks. */
  bool holdsWork() const;
  Task<void> handleReadiness(http::Request& request, http::ResponseWriter& writer);
  /** @return the number of requests that the engine reports, or nothing if it does not answer. */
  Task<std::optional<std::uint32_t>> queryEngineLoad(EngineId engine, Address address);
  Task<void> maintenanceLoop();
  Task<void> shutDown();
  /** Ends the requests that are still in progress, with a response if none has begun. */
  Task<void> endRequests();
  /** Starts to release the jobs, the leader locks and, once these are released, the lease. Nothing
   * else waits for it, since it depends on the store.
   * @param until when the process ends.
   */
  void startHandOver(Instant until);
  Task<void> releaseLease(Instant until);
  /** @return whether the jobs, the leader locks and the lease are released. */
  bool handedOver() const;

  boost::asio::io_context& loop_;
  GatewaySettings settings_;
  PlatformPort& platform_;
  http::ConnectionPool& engine_pool_;
  engines::engine_registry registry_;
  routing::weighted_round_robin round_robin_;
  /// Target number of gateways that own jobs or leader locks.
  lease::pool_requirements owner_demand_ = defaultOwnerDemand();
  lease::lease_table leases_;
  lease::owner_pool owner_pool_;
  lease::lease_keeper keeper_;
  lease::lease_poller lease_poller_;
  batch::job_store job_store_;
  usage::usage_service usage_;
  suspects::suspect_service suspects_;
  forward::forwarder forwarder_;
  batch::batch_service batches_;
  versions::rollout_service rollouts_;
  scaling::scaling_service scaling_;
  closed_zones_monitor closed_zones_;
  cold_engines_monitor cold_engines_;
  operator_feed operator_feed_;
  engine_feed engine_feed_;
  coordination_feed coordination_feed_;
  store_monitor store_monitor_;
  peer_exchange peer_exchange_;
  request_dispatcher dispatcher_;
  http::Server request_server_;
  http::Server readiness_server_;
  http::Server metrics_server_;
  http::Server peer_server_;
  metrics_exporter metrics_exporter_;
  bool stopping_ = false;
  bool lease_released_ = false;  ///< Whether the release of the lease has begun.
};

}  // namespace linenpier::gateway
