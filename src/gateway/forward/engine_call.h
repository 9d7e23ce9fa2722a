#pragma once

/** @file
 * One attempt at one engine: sends a request, checks the head of the answer, reads the rest, and
 * reports to the registry how the engine did.
 */

#include <memory>
#include <string>
#include <vector>

#include "gateway/engines/engine_registry.h"
#include "gateway/forward/event_parser.h"
#include "gateway/forward/field_names.h"
#include "gateway/http/client_exchange.h"

namespace linenpier::forward {

/** How an attempt ended. Of all ends, only kNotExecuted and kUnreachable show that it did not run
 * the request.
 */
enum class AttemptOutcome {
  kAnswered,     ///< The engine answered; completely if the answer was read completely.
  kNotExecuted,  ///< The engine rejected the request: it says that it did not run it.
  kUnreachable,  ///< Nothing was sent.
  kBroken,       ///< Broken off, malformed or unsigned; it may have run.
  kTimedOut,     ///< Nothing in time; it may have run, or still run.
  kAborted,      ///< Stopped by the gateway; it may have run.
};

/** @return the end as log lines and metrics name it. */
const char* toText(AttemptOutcome outcome);

/** @return whether an attempt that ended so may have run the request. */
bool mayHaveRun(AttemptOutcome outcome);

struct engine_call_context {
  http::ConnectionPool& pool;
  engines::engine_registry& registry;
  const field_names& names;
};

struct attempt_limits {
  Instant connect_deadline;
  Instant deadline;  ///< Until the head of the answer is read.
  bool fresh_connection = false;
  /** What it says of the engine if nothing comes in time. A sender that waits for less than any
   * healthy engine may take must not count that as a failure.
   */
  engines::AttemptEnd end_on_timeout = engines::AttemptEnd::kSilent;
};

/** Loop thread only; held by a shared pointer. Counts as in flight at its engine until its end. */
class engine_call : public std::enable_shared_from_this<engine_call> {
 public:
  /** @param request complete but for the engine's id, which is set here. */
  engine_call(engine_call_context context, const engines::engine_state& engine,
              http::Request request);
  ~engine_call();
  engine_call(const engine_call&) = delete;
  engine_call& operator=(const engine_call&) = delete;

  /** Sends the request and reads the head of the answer. */
  Task<AttemptOutcome> start(attempt_limits limits);
  /** Reads the rest of the answer's body. */
  Task<AttemptOutcome> readWhole(std::string& body, Instant deadline);
  /** Waits for more of an event stream.
   * @return kAnswered with the events that are complete now, perhaps none; `finished` tells the
   * end.
   */
  Task<AttemptOutcome> readEvents(event_parser& parser, std::vector<stream_event>& events,
                                  Instant deadline);
  void abort();
  /** Asked after the attempt broke off.
   * @return whether the engine's process has crashed, which is so if its address refuses
   *     connections. An engine that does not answer may be cut off or hang, and has not.
   */
  Task<bool> engineHasCrashed();

  const EngineId& engine() const { return this->engine_; }
  /** The copy that was sent. */
  const http::Request& request() const { return this->exchange_->request(); }
  unsigned status() const { return this->exchange_->status(); }
  const http::ResponseHead& head() const { return this->exchange_->head(); }
  bool finished() const { return this->exchange_->complete(); }
  /** @return the version of weights in the answer's head, 0 if there is none. */
  WeightVersion weightVersion() const;
  Instant startedAt() const { return this->started_at_; }

 private:
  AttemptOutcome checkHeader();
  /** Reports an end that is no answer. */
  AttemptOutcome reportExchangeEnd(http::ExchangeStatus status);
  /** Reports the attempt's end to the registry, once. */
  void reportEnd(engines::AttemptEnd end);
  void reportLoad();

  engine_call_context context_;
  EngineId engine_;
  Address address_;
  std::string request_id_;
  std::shared_ptr<http::ClientExchange> exchange_;
  Instant started_at_{};
  engines::AttemptEnd end_on_timeout_ = engines::AttemptEnd::kSilent;
  bool ended_ = false;
};

}  // namespace linenpier::forward
