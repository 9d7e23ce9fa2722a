#pragma once

/// @file
/// One attempt at one engine: sends a request, judges the answer's head, reads the rest, and tells
/// the registry how the engine did.

#include <functional>
#include <string>
#include <vector>

#include "gateway/engines/engine_registry.h"
#include "gateway/forward/event_parser.h"
#include "gateway/forward/field_names.h"
#include "gateway/http/client_exchange.h"

namespace linenpier::forward {

/// What an attempt has come to.
enum class AttemptVerdict {
  kAnswered,     ///< The engine answered; whole if asked for whole.
  kNotExecuted,  ///< The engine said that it did not run the request.
  kUnreachable,  ///< Nothing was sent.
  kBroken,       ///< Broken off or spoilt; it may have run.
  kSilent,       ///< Nothing in time; it may have run, or still run.
  kAborted,      ///< Stopped by us.
};

const char* toText(AttemptVerdict verdict);

/// @return whether an attempt that came to this may have run the request.
bool mayHaveRun(AttemptVerdict verdict);

struct EngineCallContext {
  http::ConnectionPool& pool;
  engines::EngineRegistry& registry;
  const FieldNames& names;
};

/// Times that bound one attempt.
struct AttemptLimits {
  Instant connect_deadline;
  Instant deadline;  ///< For each further step as well.
  bool fresh_connection = false;
  /// What it says of the engine if nothing comes in time. Who waits for less than any sound engine
  /// may take must not count that as a failure.
  engines::AttemptEnd when_late = engines::AttemptEnd::kSilent;
};

/// Loop thread only; held by a shared pointer. Counts as in flight until its end.
class EngineCall : public std::enable_shared_from_this<EngineCall> {
 public:
  /// @param request complete but for the engine's id, which is set here.
  EngineCall(EngineCallContext context, const engines::EngineState& engine, http::Request request);
  ~EngineCall();
  EngineCall(const EngineCall&) = delete;
  EngineCall& operator=(const EngineCall&) = delete;

  /// Sends the request and reads the head of the answer.
  Task<AttemptVerdict> start(AttemptLimits limits);
  /// Reads the rest of the answer's body. `event_time` tells the registry how long an answer takes.
  Task<AttemptVerdict> readWhole(std::string& body, Instant deadline);
  /// Waits for more of an event stream.
  /// @return kAnswered with the events that became whole, perhaps none; `finished` tells the end.
  Task<AttemptVerdict> readEvents(EventParser& parser, std::vector<StreamEvent>& events,
                                  Instant deadline);
  void abort();
  /// Asked after the attempt broke off: whether the engine's process has ended, which is so if its
  /// address refuses connections. One that says nothing may be cut off or stand still.
  Task<bool> engineHasCrashed();

  const EngineId& engine() const { return engine_; }
  /// As it was sent.
  const http::Request& request() const { return exchange_->request(); }
  unsigned status() const { return exchange_->status(); }
  const http::ResponseHead& head() const { return exchange_->head(); }
  bool finished() const { return exchange_->complete(); }
  /// @return the version in the answer's head, 0 if there is none.
  WeightVersion headVersion() const;
  Instant startedAt() const { return started_at_; }

 private:
  AttemptVerdict judgeHead();
  AttemptVerdict settle(http::ExchangeStatus status);
  void end(engines::AttemptEnd end);
  void readLoad();

  EngineCallContext context_;
  EngineId engine_;
  Address address_;
  std::string request_id_;
  std::shared_ptr<http::ClientExchange> exchange_;
  Instant started_at_{};
  engines::AttemptEnd when_late_ = engines::AttemptEnd::kSilent;
  bool ended_ = false;
};

}  // namespace linenpier::forward
