#pragma once

/** @file
 * One attempt on one engine: sends the request, validates the response header, reads the body and
 * reports the outcome to the engine registry.
 */

#include <memory>
#include <string>
#include <vector>

#include "gateway/engines/engine_registry.h"
#include "gateway/forward/event_parser.h"
#include "gateway/forward/field_names.h"
#include "gateway/http/client_exchange.h"

namespace linenpier::forward {

/** Outcome of an attempt. Only kNotExecuted and kUnreachable guarantee that the engine did not
 * execute the request.
 */
enum class AttemptOutcome {
  kAnswered,     ///< The engine responded. The body may not have been read yet.
  kNotExecuted,  ///< The engine rejected the request without executing it.
  kUnreachable,  ///< The connection failed, or the request was not sent.
  kBroken,       ///< The connection was lost, or the response is malformed, unsigned or too large.
  kTimedOut,     ///< No data arrived before the deadline; the request may still be running.
  kAborted,      ///< The gateway aborted the attempt.
};

/** @return the name of the outcome in log lines and metrics. */
const char* toText(AttemptOutcome outcome);

/** @return whether an attempt with this outcome may have executed the request. */
bool mayHaveRun(AttemptOutcome outcome);

struct engine_call_context {
  http::ConnectionPool& pool;
  engines::engine_registry& registry;
  const field_names& names;
};

struct attempt_limits {
  Instant connect_deadline;
  Instant deadline;  ///< Time by which the response header must be read.
  bool fresh_connection = false;
  /** Outcome reported to the engine registry if the deadline passes. If a healthy engine may take
   * longer than the deadline, use an outcome that is not a failure, such as kRejected.
   */
  engines::HealthOutcome timeout_outcome = engines::HealthOutcome::kTimeout;
};

/** An attempt on one engine. The engine counts the attempt as in flight until the attempt ends. An
 * `engine_call` must be owned by a shared_ptr and used on the event loop thread only.
 */
class engine_call : public std::enable_shared_from_this<engine_call> {
 public:
  /** @param request the message to send; the constructor sets its target engine field. */
  engine_call(engine_call_context context, const engines::engine_state& engine,
              http::Request request);
  ~engine_call();
  engine_call(const engine_call&) = delete;
  engine_call& operator=(const engine_call&) = delete;

  /** Sends the request and reads the response header. */
  Task<AttemptOutcome> start(attempt_limits limits);
  /** Reads the rest of the response body. */
  Task<AttemptOutcome> readWhole(std::string& body, Instant deadline);
  /** Reads the rest of a response body that is not needed. */
  Task<AttemptOutcome> discardBody(Instant deadline);
  /** Reads more of an event stream.
   * @return kAnswered with the newly completed events, possibly none; `finished` tells whether the
   *     stream has ended.
   */
  Task<AttemptOutcome> readEvents(event_parser& parser, std::vector<stream_event>& events,
                                  Instant deadline);
  void abort();
  /** Checks whether the engine process has exited. To be called after the connection was lost.
   * @return true if the engine's address refuses connections; false if the address does not
   *     respond, since the engine may then be partitioned or hanging.
   */
  Task<bool> engineHasCrashed();

  const EngineId& engine() const { return this->engine_; }
  /** @return the request as sent to the engine. */
  const http::Request& request() const { return this->exchange_->request(); }
  unsigned status() const { return this->exchange_->status(); }
  const http::ResponseHead& head() const { return this->exchange_->head(); }
  bool finished() const { return this->exchange_->complete(); }
  /** @return the weight version in the response header, 0 if absent. */
  WeightVersion weightVersion() const;
  Instant startedAt() const { return this->started_at_; }

 private:
  AttemptOutcome checkHeader();
  AttemptOutcome onBodyRead(http::ExchangeStatus status);
  /** Maps the exchange status to an outcome and reports the outcome to the engine registry. */
  AttemptOutcome reportExchangeEnd(http::ExchangeStatus status);
  /** Reports the end of the attempt to the engine registry, at most once. */
  void reportEnd(engines::HealthOutcome end);
  void reportLoad();

  engine_call_context context_;
  EngineId engine_;
  Address address_;
  std::string request_id_;
  std::shared_ptr<http::ClientExchange> exchange_;
  Instant started_at_{};
  engines::HealthOutcome timeout_outcome_ = engines::HealthOutcome::kTimeout;
  bool ended_ = false;
};

}  // namespace linenpier::forward
