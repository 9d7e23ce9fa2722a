#pragma once

/** @file
 * Serves requests by attempts at engines. Bytes of bodies and events pass unchanged in both
 * directions.
 *
 * Owns the parts that do so: the choice of an engine, the admission of suspects, local replies, log
 * lines and metrics, reports of runs. Requests with one answer are served by `unary_forwarder`,
 * streams by `stream_session`; both retry by the one rule in `attempt_policy`.
 */

#include <functional>

#include "gateway/forward/forwarding_context.h"
#include "gateway/forward/internal_requests.h"
#include "gateway/forward/unary_forwarder.h"
#include "gateway/http/server.h"

namespace linenpier::forward {

/** Loop thread only. */
class forwarder : public internal_requests {
 public:
  forwarder(boost::asio::io_context& loop, engine_call_context engines,
            routing::weighted_round_robin& round_robin, metrics::GatewayMetrics& metrics,
            usage::run_recorder& recorder, suspects::suspect_tracker& suspects);
  /** The parts refer to each other. */
  forwarder(const forwarder&) = delete;
  forwarder& operator=(const forwarder&) = delete;

  /** See `engine_picker::setResidencySource`. */
  void setResidencySource(std::function<routing::RouteTablePtr()> newest) {
    this->picker_.setResidencySource(std::move(newest));
  }

  /** Answers the request in every case, unless the client is gone.
   * @param from who sends it; its key was checked and is not checked again, however long a stream
   *     stays open.
   */
  Task<void> serve(routing::RouteTablePtr table, const routing::Route& route,
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
  forwarding_context context_;  ///< Refers to the parts above.
  unary_forwarder unary_;
};

}  // namespace linenpier::forward
