#include "gateway/forward/engine_call.h"

#include <cstdio>
#include <cstdlib>

#include "common/event_log.h"
#include "gateway/forward/content_coding.h"

namespace linenpier::forward {

using engines::HealthOutcome;
using http::ExchangeStatus;

namespace {
/** HTTP status "Misdirected Request": the request names another engine. */
constexpr unsigned kMisdirected = 421;
constexpr unsigned kServerError = 500;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;
/** Maximum time for a host to accept or refuse a connection. */
constexpr Duration kCrashCheckTimeout = std::chrono::milliseconds(100);

/** @return whether the status tells a client that its request was not executed. */
bool isRefusal(unsigned status) {
  return status == kMisdirected || status == kRequestTimeout || status == kTooManyRequests ||
         status == kUnavailable;
}
}  // namespace

const char* toText(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return "answered";
    case AttemptOutcome::kNotExecuted:
      return "not_executed";
    case AttemptOutcome::kUnreachable:
      return "unreachable";
    case AttemptOutcome::kBroken:
      return "broken";
    case AttemptOutcome::kTimedOut:
      return "silent";
    case AttemptOutcome::kAborted:
      return "aborted";
  }
  return "unknown";
}

bool mayHaveRun(AttemptOutcome outcome) {
  return outcome != AttemptOutcome::kNotExecuted && outcome != AttemptOutcome::kUnreachable;
}

engine_call::engine_call(engine_call_context context, const engines::engine_state& engine,
                         http::Request request)
    : context_(context),
      engine_(engine.record.id),
      address_(engine.record.address),
      started_at_(steadyNow()) {
  request.set(this->context_.names.target_engine, this->engine_.str());
  this->request_id_ = http::fieldText(request, this->context_.names.request_id);
  this->exchange_ = std::make_shared<http::ClientExchange>(
      this->context_.pool, engine.record.address, std::move(request));
  // The operator may close the zone while the connection is being established.
  this->exchange_->sendOnlyIf([&registry = this->context_.registry, zone = engine.record.zone] {
    return !registry.closedZones().contains(zone);
  });
  this->context_.registry.onAttemptStarted(this->started_at_, this->engine_);
}

engine_call::~engine_call() {
  this->exchange_->abort();
  this->reportEnd(HealthOutcome::kSuccess);
}

void engine_call::reportEnd(HealthOutcome end) {
  if (this->ended_) return;
  this->ended_ = true;
  this->context_.registry.onAttemptEnded(steadyNow(), this->engine_, end);
}

void engine_call::abort() {
  this->exchange_->abort();
}

Task<bool> engine_call::engineHasCrashed() {
  const auto self = this->shared_from_this();
  const http::PeerState state =
      co_await this->context_.pool.probe(this->address_, steadyNow() + kCrashCheckTimeout);
  co_return state == http::PeerState::kRefusing;
}

Task<AttemptOutcome> engine_call::start(attempt_limits limits) {
  const auto self = this->shared_from_this();
  this->timeout_outcome_ = limits.timeout_outcome;
  http::ExpectedEcho echo{this->context_.names.request_id, this->request_id_};
  const ExchangeStatus status = co_await this->exchange_->start(
      limits.connect_deadline, limits.deadline, echo, limits.fresh_connection);
  if (status != ExchangeStatus::kOk) co_return this->reportExchangeEnd(status);
  const AttemptOutcome outcome = this->checkHeader();
  if (outcome != AttemptOutcome::kNotExecuted) co_return outcome;
  // A response that is cut does not tell what the engine did.
  const ExchangeStatus drained = co_await this->exchange_->discardBody(limits.deadline);
  if (drained != ExchangeStatus::kOk) co_return this->reportExchangeEnd(drained);
  const bool misdirected = this->exchange_->status() == kMisdirected;
  this->reportEnd(misdirected ? HealthOutcome::kWrongEngine : HealthOutcome::kRejected);
  co_return outcome;
}

AttemptOutcome engine_call::checkHeader() {
  this->reportLoad();
  const bool not_executed = this->exchange_->status() == kMisdirected ||
                            this->head().count(this->context_.names.not_executed) > 0;
  if (not_executed) return AttemptOutcome::kNotExecuted;
  // Without Not-Executed a refusal promises nothing, so it must not be forwarded.
  if (isRefusal(this->exchange_->status()) ||
      this->head().count(this->context_.names.signature) == 0) {
    this->exchange_->abort();
    this->reportEnd(HealthOutcome::kBroken);
    return AttemptOutcome::kBroken;
  }
  if (!acceptsCodings(this->request(), this->head())) {
    logging::LogEvent("forward", "unrequested_coding")
        .text("engine", this->engine_.str())
        .text("coding", http::fieldText(this->head(), "Content-Encoding"));
    return this->reportExchangeEnd(ExchangeStatus::kBroken);
  }
  return AttemptOutcome::kAnswered;
}

void engine_call::reportLoad() {
  const std::string text = http::fieldText(this->head(), this->context_.names.load);
  engines::load_report load;
  if (std::sscanf(text.c_str(), "%u,%u,%u", &load.running, &load.waiting, &load.slots) == 3) {
    this->context_.registry.onLoadReport(steadyNow(), this->engine_, load);
  }
}

AttemptOutcome engine_call::reportExchangeEnd(ExchangeStatus status) {
  switch (status) {
    case ExchangeStatus::kOk:
      return AttemptOutcome::kAnswered;
    case ExchangeStatus::kNotConnected:
      this->reportEnd(HealthOutcome::kUnreachable);
      return AttemptOutcome::kUnreachable;
    case ExchangeStatus::kWithheld:
      this->reportEnd(HealthOutcome::kRejected);
      return AttemptOutcome::kUnreachable;
    case ExchangeStatus::kBroken:
    case ExchangeStatus::kOverLimit:
      this->reportEnd(HealthOutcome::kBroken);
      this->exchange_->abort();
      return AttemptOutcome::kBroken;
    case ExchangeStatus::kTimedOut:
      this->reportEnd(this->timeout_outcome_);
      this->exchange_->abort();
      return AttemptOutcome::kTimedOut;
    case ExchangeStatus::kAborted:
      this->reportEnd(HealthOutcome::kSuccess);
      return AttemptOutcome::kAborted;
  }
  return AttemptOutcome::kBroken;
}

Task<AttemptOutcome> engine_call::readWhole(std::string& body, Instant deadline) {
  const auto self = this->shared_from_this();
  const ExchangeStatus status = co_await this->exchange_->readAll(body, deadline);
  co_return this->onBodyRead(status);
}

Task<AttemptOutcome> engine_call::discardBody(Instant deadline) {
  const auto self = this->shared_from_this();
  const ExchangeStatus status = co_await this->exchange_->discardBody(deadline);
  co_return this->onBodyRead(status);
}

AttemptOutcome engine_call::onBodyRead(ExchangeStatus status) {
  if (status != ExchangeStatus::kOk) return this->reportExchangeEnd(status);
  this->reportEnd(this->exchange_->status() >= kServerError ? HealthOutcome::kBroken
                                                            : HealthOutcome::kSuccess);
  return AttemptOutcome::kAnswered;
}

Task<AttemptOutcome> engine_call::readEvents(event_parser& parser,
                                             std::vector<stream_event>& events, Instant deadline) {
  const auto self = this->shared_from_this();
  std::string bytes;
  const ExchangeStatus status = co_await this->exchange_->readSome(bytes, deadline);
  events = parser.feed(bytes);
  if (parser.overLimit()) {
    logging::LogEvent("forward", "event_over_limit")
        .text("engine", this->engine_.str())
        .number("limit", static_cast<std::int64_t>(kMaxEventBytes));
    co_return this->reportExchangeEnd(ExchangeStatus::kOverLimit);
  }
  if (status != ExchangeStatus::kOk) co_return this->reportExchangeEnd(status);
  if (this->exchange_->complete()) this->reportEnd(HealthOutcome::kSuccess);
  co_return AttemptOutcome::kAnswered;
}

WeightVersion engine_call::weightVersion() const {
  return std::strtoull(http::fieldText(this->head(), this->context_.names.weight_version).c_str(),
                       nullptr, 10);
}

}  // namespace linenpier::forward
