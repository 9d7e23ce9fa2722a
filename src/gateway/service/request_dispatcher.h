#pragma once

/** @file
 * Entry point of client requests: finds the route, authenticates the caller, rejects invalid
 * requests, and passes the others to the forwarder or the batch service. A key is checked once, on
 * arrival; revoking it does not affect open streams or accepted jobs.
 */

#include "gateway/batch/batch_service.h"
#include "gateway/forward/forwarder.h"
#include "gateway/http/server.h"
#include "gateway/metrics/gateway_metrics.h"
#include "gateway/service/operator_feed.h"
#include "gateway/service/platform_port.h"

namespace linenpier::gateway {

/** Used only on the event loop thread. */
class request_dispatcher {
 public:
  struct dependencies {
    PlatformPort& platform;
    const gateway::operator_feed& operator_feed;
    forward::forwarder& forwarder;
    batch::batch_service& batches;
    metrics::GatewayMetrics& metrics;
  };

  explicit request_dispatcher(const dependencies& deps) : deps_(deps) {}

  /** Handles one request until its response is complete.
   * @param received time at which the request header was complete; the request deadline counts from
   * this time.
   */
  Task<void> handle(http::Request& request, Instant received, http::ResponseWriter& writer);

 private:
  Task<void> handleBatchCall(const BatchCall& call, const tenants::caller& from,
                             const std::string& id, http::ResponseWriter& writer);
  /** Responds 401 to a caller without a valid key, or 503 while the operator feed is down, since
   * the key may be newer than the local configuration.
   */
  Task<void> rejectCaller(const tenants::caller& from, const std::string& id,
                          http::ResponseWriter& writer);
  /** Responds 404 to a request without a route, or 503 while the operator feed is down. */
  Task<void> rejectPath(const std::string& path, const std::string& id,
                        http::ResponseWriter& writer);

  dependencies deps_;
};

}  // namespace linenpier::gateway
