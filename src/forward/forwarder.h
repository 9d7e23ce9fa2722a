#pragma once

/// @file
/// Serves one client request by attempts at engines. Bytes pass unchanged in both directions.

#include "forward/attempt_policy.h"
#include "http/server.h"
#include "logging/event_log.h"
#include "routing/route_table.h"

namespace linenpier::forward {

struct ForwarderOptions {
  Duration connect_time = std::chrono::milliseconds(400);
  /// A resumable stream that says nothing for this long goes on elsewhere.
  Duration stream_silence = std::chrono::milliseconds(1500);
  Duration retry_after = std::chrono::milliseconds(250);  ///< Told with refusals.
};

/// Counters for the metrics.
struct ForwardCounts {
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t out_of_time = 0;
  std::uint64_t client_gone = 0;
  std::uint64_t attempts = 0;
};

/// A request on its way. The route belongs to the table, which is kept with it.
struct ForwardedRequest {
  routing::RouteTablePtr table;
  const routing::Route* route = nullptr;
  const http::Request* request = nullptr;
  std::string id;
  Instant received{};
  Instant deadline{};
};

/// Loop thread only.
class Forwarder {
 public:
  Forwarder(boost::asio::io_context& loop, EngineCallContext context,
            routing::WeightedDealer& dealer, ForwarderOptions options)
      : loop_(loop), context_(context), dealer_(dealer), options_(options) {}

  /// Answers the request in every case, unless the client is gone.
  Task<void> serve(routing::RouteTablePtr table, const routing::Route& route,
                   const http::Request& request, Instant received, http::ResponseWriter& writer);
  /// @return an answer of this daemon's own.
  http::Response ownAnswer(unsigned status, const std::string& id) const;
  const ForwardCounts& counts() const { return counts_; }

 private:
  struct Race;
  struct StreamState;

  Task<void> servePlain(ForwardedRequest& forwarded, http::ResponseWriter& writer);
  Task<void> runAttempt(std::shared_ptr<Race> race, std::shared_ptr<EngineCall> call,
                        Instant deadline);
  /// @return the answer to pass on, if one has come.
  bool startAttempt(ForwardedRequest& forwarded, std::shared_ptr<Race> race);
  Task<void> serveStream(ForwardedRequest& forwarded, http::ResponseWriter& writer);
  Task<AttemptVerdict> relay(ForwardedRequest& forwarded, EngineCall& call, StreamState& state,
                             http::ResponseWriter& writer);
  Task<void> answerFinally(ForwardedRequest& forwarded, FinalAnswer answer,
                           http::ResponseWriter& writer);

  const engines::EngineState* pickEngine(const ForwardedRequest& forwarded,
                                         const std::set<EngineId>& tried);
  http::Request outgoing(const ForwardedRequest& forwarded, Instant now) const;
  Instant deadlineOf(const routing::Route& route, const http::Request& request,
                     Instant received) const;
  void logEnd(const ForwardedRequest& forwarded, const char* outcome, unsigned status,
              const AttemptPolicy& policy) const;

  boost::asio::io_context& loop_;
  EngineCallContext context_;
  routing::WeightedDealer& dealer_;
  ForwarderOptions options_;
  ForwardCounts counts_;
};

}  // namespace linenpier::forward
