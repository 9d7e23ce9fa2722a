#pragma once

/** @file
 * The way in of requests: finds a request's route and its caller, turns away whom it can't serve,
 * and hands the rest to the forwarder or to the batch service. Owns no state. A caller's key is
 * checked here, once, when the request arrives; neither an open stream nor a job that was accepted
 * is looked at again when the key is taken away later.
 */

#include "gateway/batch/batch_service.h"
#include "gateway/forward/forwarder.h"
#include "gateway/http/server.h"
#include "gateway/metrics/gateway_metrics.h"
#include "gateway/service/operator_feed.h"
#include "gateway/service/platform_port.h"

namespace linenpier::gateway {

/** Loop thread only. */
class request_dispatcher {
 public:
  struct dependencies {
    PlatformPort& platform;
    const operator_feed& operators;
    forward::forwarder& forwarder;
    batch::batch_service& batches;
    metrics::GatewayMetrics& metrics;
  };

  explicit request_dispatcher(const dependencies& deps) : deps_(deps) {}

  /** Serves one request to its end.
   * @param received when its head was whole; its deadline counts from there.
   */
  Task<void> handle(http::Request& request, Instant received, http::ResponseWriter& writer);

 private:
  Task<void> handleBatchCall(const BatchCall& call, const tenants::caller& from,
                             const std::string& id, http::ResponseWriter& writer);
  /** 401 to a caller without a known key; 503 while this gateway does not follow the operator's
   * changes, since the key may be newer than what it knows.
   */
  Task<void> rejectCaller(const tenants::caller& from, const std::string& id,
                          http::ResponseWriter& writer);
  /** 404, or 503 while this gateway does not follow the operator's changes. */
  Task<void> rejectPath(const std::string& path, const std::string& id,
                        http::ResponseWriter& writer);

  dependencies deps_;
};

}  // namespace linenpier::gateway
