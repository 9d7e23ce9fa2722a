#include "gateway/forward/engine_call.h"

#include <cstdio>
#include <cstdlib>

namespace linenpier::forward {

using engines::AttemptEnd;
using http::ExchangeStatus;

namespace {
constexpr std::size_t kMaxAnswer = 64 * 1024 * 1024;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kServerError = 500;
/// For the answer to a connection: many times what a host within reach takes.
constexpr Duration kEndedCheckTime = std::chrono::milliseconds(100);
}  // namespace

const char* toText(AttemptVerdict verdict) {
  switch (verdict) {
    case AttemptVerdict::kAnswered:
      return "answered";
    case AttemptVerdict::kNotExecuted:
      return "not_executed";
    case AttemptVerdict::kUnreachable:
      return "unreachable";
    case AttemptVerdict::kBroken:
      return "broken";
    case AttemptVerdict::kSilent:
      return "silent";
    case AttemptVerdict::kAborted:
      return "aborted";
  }
  return "unknown";
}

bool mayHaveRun(AttemptVerdict verdict) {
  return verdict != AttemptVerdict::kNotExecuted && verdict != AttemptVerdict::kUnreachable;
}

EngineCall::EngineCall(EngineCallContext context, const engines::EngineState& engine,
                       http::Request request)
    : context_(context),
      engine_(engine.record.id),
      address_(engine.record.address),
      started_at_(steadyNow()) {
  request.set(context_.names.target_engine, engine_.str());
  request_id_ = http::fieldText(request, context_.names.request_id);
  exchange_ = std::make_shared<http::ClientExchange>(context_.pool, engine.record.address,
                                                     std::move(request));
  // The zone may be closed while a connection comes up.
  exchange_->sendOnlyIf([&registry = context_.registry, zone = engine.record.zone] {
    return !registry.closedZones().contains(zone);
  });
  context_.registry.onAttemptStarted(started_at_, engine_);
}

EngineCall::~EngineCall() {
  exchange_->abort();
  end(AttemptEnd::kServed);
}

void EngineCall::end(AttemptEnd end) {
  if (ended_) return;
  ended_ = true;
  context_.registry.onAttemptEnded(steadyNow(), engine_, end);
}

void EngineCall::abort() {
  exchange_->abort();
}

Task<bool> EngineCall::engineHasCrashed() {
  const auto self = shared_from_this();
  const http::PeerState state =
      co_await context_.pool.probe(address_, steadyNow() + kEndedCheckTime);
  co_return state == http::PeerState::kRefuses;
}

Task<AttemptVerdict> EngineCall::start(AttemptLimits limits) {
  const auto self = shared_from_this();
  when_late_ = limits.when_late;
  http::ExpectedEcho echo{context_.names.request_id, request_id_};
  const ExchangeStatus status = co_await exchange_->start(limits.connect_deadline, limits.deadline,
                                                          echo, limits.fresh_connection);
  if (status != ExchangeStatus::kOk) co_return settle(status);
  const AttemptVerdict verdict = judgeHead();
  if (verdict != AttemptVerdict::kNotExecuted) co_return verdict;
  // Reading the refusal to its end keeps the connection.
  std::string ignored;
  co_await exchange_->readAll(ignored, kMaxAnswer, limits.deadline);
  co_return verdict;
}

AttemptVerdict EngineCall::judgeHead() {
  readLoad();
  if (exchange_->status() == kMisdirected) {
    end(AttemptEnd::kMisdirected);
    return AttemptVerdict::kNotExecuted;
  }
  if (head().count(context_.names.not_executed) > 0) {
    end(AttemptEnd::kRefused);
    return AttemptVerdict::kNotExecuted;
  }
  if (head().count(context_.names.signature) == 0) {
    exchange_->abort();
    end(AttemptEnd::kBroke);
    return AttemptVerdict::kBroken;
  }
  return AttemptVerdict::kAnswered;
}

void EngineCall::readLoad() {
  const std::string text = http::fieldText(head(), context_.names.load);
  engines::LoadReport load;
  if (std::sscanf(text.c_str(), "%u,%u,%u", &load.running, &load.waiting, &load.slots) == 3) {
    context_.registry.onLoad(steadyNow(), engine_, load);
  }
}

AttemptVerdict EngineCall::settle(ExchangeStatus status) {
  switch (status) {
    case ExchangeStatus::kOk:
      return AttemptVerdict::kAnswered;
    case ExchangeStatus::kNotConnected:
      end(AttemptEnd::kUnreachable);
      return AttemptVerdict::kUnreachable;
    case ExchangeStatus::kWithheld:
      end(AttemptEnd::kRefused);
      return AttemptVerdict::kUnreachable;
    case ExchangeStatus::kBroken:
      end(AttemptEnd::kBroke);
      exchange_->abort();
      return AttemptVerdict::kBroken;
    case ExchangeStatus::kTimedOut:
      end(when_late_);
      exchange_->abort();
      return AttemptVerdict::kSilent;
    case ExchangeStatus::kAborted:
      end(AttemptEnd::kServed);
      return AttemptVerdict::kAborted;
  }
  return AttemptVerdict::kBroken;
}

Task<AttemptVerdict> EngineCall::readWhole(std::string& body, Instant deadline) {
  const auto self = shared_from_this();
  const ExchangeStatus status = co_await exchange_->readAll(body, kMaxAnswer, deadline);
  if (status != ExchangeStatus::kOk) co_return settle(status);
  end(exchange_->status() >= kServerError ? AttemptEnd::kBroke : AttemptEnd::kServed);
  co_return AttemptVerdict::kAnswered;
}

Task<AttemptVerdict> EngineCall::readEvents(EventParser& parser, std::vector<StreamEvent>& events,
                                            Instant deadline) {
  const auto self = shared_from_this();
  std::string bytes;
  const ExchangeStatus status = co_await exchange_->readSome(bytes, deadline);
  events = parser.feed(bytes);
  if (status != ExchangeStatus::kOk) co_return settle(status);
  if (exchange_->complete()) end(AttemptEnd::kServed);
  co_return AttemptVerdict::kAnswered;
}

WeightVersion EngineCall::headVersion() const {
  return std::strtoull(http::fieldText(head(), context_.names.weight_versions).c_str(), nullptr,
                       10);
}

}  // namespace linenpier::forward
