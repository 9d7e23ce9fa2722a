#pragma once

/** @file
 * Forwards requests to engines. Bodies and events pass unmodified in both directions.
 *
 * Owns the components shared by all requests: engine selection, suspect admission, local replies,
 * logs and metrics, usage reports. `unary_forwarder` handles requests with a single response,
 * `stream_session` handles streams; both retry according to `attempt_policy`.
 */

#include <functional>

#include "gateway/forward/forwarding_context.h"
#include "gateway/forward/internal_requests.h"
#include "gateway/forward/unary_forwarder.h"
#include "gateway/http/server.h"

namespace linenpier::forward {

/** Entry point for forwarding requests; to be used on the event loop thread only. */
class forwarder : public internal_requests {
 public:
  forwarder(boost::asio::io_context& loop, engine_call_context engines,
            routing::weighted_round_robin& round_robin, metrics::GatewayMetrics& metrics,
            usage::usage_recorder& recorder, suspects::suspect_tracker& suspects);
  /** A forwarder is not copyable, since `context_` refers to its other members. */
  forwarder(const forwarder&) = delete;
  forwarder& operator=(const forwarder&) = delete;

  /** See `engine_picker::setResidencySource`. */
  void setResidencySource(std::function<routing::ConfigurationPtr()> newest) {
    this->picker_.setResidencySource(std::move(newest));
  }

  /** Sends exactly one response, unless the client disconnects.
   * @param caller the authenticated sender, who is not authenticated again while a stream is open.
   */
  Task<void> serve(routing::ConfigurationPtr table, const routing::Route& route,
                   tenants::caller caller, const http::Request& request, Instant received,
                   http::ResponseWriter& writer);

  Task<internal_outcome> send(internal_request request) override;

  /** See `local_replies::make`. */
  http::Response localReply(unsigned status, const std::string& id) const {
    return this->replies_.make(status, id);
  }

 private:
  engine_picker picker_;
  attempt_admission admission_;
  local_replies replies_;
  request_log log_;
  run_reporter runs_;
  forwarding_context context_;  ///< References to the members declared above.
  unary_forwarder unary_;
};

}  // namespace linenpier::forward
