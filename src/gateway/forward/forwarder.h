#pragma once

/// @file
/// Serves one client request by attempts at engines. Bytes pass unchanged in both directions.

#include <functional>

#include "gateway/forward/attempt_admission.h"
#include "gateway/forward/attempt_policy.h"
#include "gateway/forward/engine_choice.h"
#include "gateway/forward/forwarded_request.h"
#include "gateway/forward/internal_requests.h"
#include "gateway/forward/local_replies.h"
#include "gateway/forward/request_log.h"
#include "gateway/forward/run_reports.h"
#include "gateway/http/server.h"

namespace linenpier::forward {

struct ForwarderOptions {
  Duration connect_time = std::chrono::milliseconds(200);
  /// A resumable stream that says nothing for this long goes on elsewhere.
  Duration stream_silence = std::chrono::milliseconds(1500);
  local_reply_options replies;
};

/// Loop thread only.
class Forwarder : public internal_requests {
 public:
  Forwarder(boost::asio::io_context& loop, EngineCallContext context,
            routing::weighted_round_robin& round_robin, metrics::GatewayMetrics& metrics,
            usage::run_recorder& recorder, suspects::suspect_gate& suspects,
            ForwarderOptions options)
      : loop_(loop),
        context_(context),
        engine_choice_(context.registry, context.names, round_robin),
        log_(context.registry, metrics),
        runs_(context.registry, recorder),
        admission_(suspects),
        replies_(context.names, suspects, options.replies),
        options_(options) {}

  /// See engine_choice.
  void followResidency(std::function<routing::RouteTablePtr()> newest) {
    engine_choice_.followResidency(std::move(newest));
  }
  /// Answers the request in every case, unless the client is gone.
  Task<void> serve(routing::RouteTablePtr table, const routing::Route& route, tenants::caller from,
                   const http::Request& request, Instant received, http::ResponseWriter& writer);
  Task<internal_outcome> send(internal_request request) override;
  /// See local_replies.
  http::Response localReply(unsigned status, const std::string& id) const {
    return replies_.make(status, id);
  }

 private:
  struct Race;
  struct StreamState;

  /// What the attempts of one request came to.
  struct plain_outcome {
    std::optional<http::Response> answer;  ///< Whole and signed.
    int failures = 0;                      ///< Attempts that engines answered with 500.
  };

  Task<void> servePlain(std::shared_ptr<forwarded_request> forwarded, http::ResponseWriter& writer);
  Task<plain_outcome> runAttempts(std::shared_ptr<forwarded_request> forwarded,
                                  AttemptPolicy& policy, http::Cancellation& cancellation);
  Task<void> runAttempt(std::shared_ptr<Race> race, std::shared_ptr<EngineCall> call,
                        std::shared_ptr<forwarded_request> forwarded,
                        suspects::sent_attempt attempt);
  /// @return whether there was an engine for it.
  bool startAttempt(const std::shared_ptr<forwarded_request>& forwarded,
                    const std::shared_ptr<Race>& race, const suspects::sent_attempt& attempt);
  Task<void> serveStream(forwarded_request& forwarded, http::ResponseWriter& writer);
  Task<AttemptVerdict> relay(forwarded_request& forwarded, EngineCall& call, StreamState& state,
                             http::ResponseWriter& writer);
  /// Passes on the head of an engine's stream.
  Task<bool> beginClientStream(EngineCall& call, http::ResponseWriter& writer);
  boost::asio::io_context& loop_;
  EngineCallContext context_;
  engine_choice engine_choice_;
  request_log log_;
  run_reports runs_;
  attempt_admission admission_;
  local_replies replies_;
  ForwarderOptions options_;
};

}  // namespace linenpier::forward
