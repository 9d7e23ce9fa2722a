#include "gateway/forward/stream_session.h"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <cstdlib>

namespace linenpier::forward {

namespace {

constexpr unsigned kFirstRedirection = 300;

}  // namespace

stream_session::stream_session(const forwarding_context& context, forwarded_request& forwarded,
                               http::ResponseWriter& writer)
    : context_(context),
      forwarded_(forwarded),
      writer_(writer),
      policy_(*forwarded.route, forwarded.deadline),
      resumable_(forwarded.route->resumable) {
  const std::string resumed_at =
      http::fieldText(*forwarded.request, context.engines.names.last_event_id);
  if (!resumed_at.empty()) this->last_event_id_ = std::strtoull(resumed_at.c_str(), nullptr, 10);
}

Task<void> stream_session::run() {
  this->writer_.cancellation().setCallback([this] {
    if (this->latest_call_) this->latest_call_->abort();
  });
  const bool answered = co_await this->runAttempts();
  this->writer_.cancellation().setCallback(nullptr);
  if (answered) {
    const unsigned status = this->latest_call_->status();
    this->context_.log.onRequestEnded(this->forwarded_, "answered", status, this->policy_);
    co_return;
  }
  this->latest_call_.reset();
  co_await this->endWithoutResponse();
}

Task<bool> stream_session::runAttempts() {
  while (!this->cancelled()) {
    const Instant now = steadyNow();
    if (!this->policy_.canStart(now)) break;
    const engines::engine_state* engine = this->pickEngine();
    if (engine == nullptr) break;
    const EngineId chosen = engine->record.id;
    const auto attempt = co_await this->context_.admission.admit(this->forwarded_, true);
    if (!attempt) break;
    // The engine may have been removed while the attempt waited for admission.
    engine = this->context_.engines.registry.find(chosen);
    if (engine == nullptr || this->cancelled()) {
      this->context_.admission.onNotSent(this->forwarded_, *attempt);
      continue;
    }
    this->startCall(now, *engine);
    const AttemptOutcome outcome = co_await this->runCall(*attempt);
    if (outcome == AttemptOutcome::kAnswered) co_return true;
    // A partially relayed stream can be continued only if the route is resumable.
    if (this->head_sent_ && !this->resumable_) break;
  }
  co_return false;
}

const engines::engine_state* stream_session::pickEngine() {
  const engines::engine_state* engine = this->context_.picker.pick(this->forwarded_, this->tried_);
  if (engine != nullptr || this->tried_.size() <= 1) return engine;
  // All engines were tried. Allow all engines but the last one again, since they may have
  // recovered.
  this->tried_ = {this->latest_call_->engine()};
  return this->context_.picker.pick(this->forwarded_, this->tried_);
}

void stream_session::startCall(Instant now, const engines::engine_state& engine) {
  this->tried_.insert(engine.record.id);
  this->fresh_connection_ = useAddress(this->forwarded_, engine.record.address);
  const field_names& names = this->context_.engines.names;
  http::Request request = makeEngineRequest(names, this->forwarded_, now);
  if (this->last_event_id_) request.set(names.last_event_id, std::to_string(*this->last_event_id_));
  this->latest_call_ =
      std::make_shared<engine_call>(this->context_.engines, engine, std::move(request));
  this->policy_.onStarted(now);
}

Task<AttemptOutcome> stream_session::runCall(suspects::sent_attempt attempt) {
  const AttemptOutcome outcome = co_await this->relay();
  bool engine_crashed = false;
  if (outcome == AttemptOutcome::kBroken) {
    engine_crashed = co_await this->latest_call_->engineHasCrashed();
  }
  const engine_call& call = *this->latest_call_;
  this->context_.log.onAttemptEnded(this->forwarded_, call, outcome, engine_crashed);
  this->context_.admission.onEnded(this->forwarded_, call, outcome, attempt, engine_crashed);
  this->policy_.onEnded(outcome);
  co_return outcome;
}

Task<AttemptOutcome> stream_session::relay() {
  engine_call& call = *this->latest_call_;
  attempt_limits limits{steadyNow() + this->context_.timeouts.connect, this->readDeadline()};
  limits.fresh_connection = this->fresh_connection_;
  const AttemptOutcome started = co_await call.start(limits);
  if (started != AttemptOutcome::kAnswered) co_return started;
  if (call.status() >= kFirstRedirection) {
    const AttemptOutcome outcome = co_await this->relayUnary(call);
    co_return outcome;
  }
  // An engine sends the header with the first token, so it is executing the request.
  this->context_.runs.onRun(this->forwarded_, steadyNow());
  const AttemptOutcome outcome = co_await this->relayEvents(call);
  co_return outcome;
}

Task<AttemptOutcome> stream_session::relayUnary(engine_call& call) {
  if (this->head_sent_) co_return AttemptOutcome::kBroken;
  http::Response response;
  const AttemptOutcome read = co_await call.readWhole(response.body(), this->forwarded_.deadline);
  if (read != AttemptOutcome::kAnswered) co_return read;
  response.result(call.status());
  http::copyEndToEndFields(call.head(), response);
  co_await this->writer_.send(std::move(response));
  co_return AttemptOutcome::kAnswered;
}

Task<AttemptOutcome> stream_session::relayEvents(engine_call& call) {
  event_parser parser(this->context_.engines.names.weight_version);
  std::vector<stream_event> events;
  while (!call.finished()) {
    const AttemptOutcome outcome = co_await call.readEvents(parser, events, this->readDeadline());
    std::string bytes;
    if (!this->appendEvents(events, bytes)) co_return AttemptOutcome::kBroken;
    if (!bytes.empty()) {
      const bool begun = co_await this->ensureStreamBegun(call);
      if (!begun) co_return AttemptOutcome::kAborted;
      const bool written = co_await this->writer_.writeChunk(std::move(bytes));
      if (!written) co_return AttemptOutcome::kAborted;
    }
    if (outcome != AttemptOutcome::kAnswered) co_return outcome;
  }
  if (!parser.incompleteEvent().empty()) co_return AttemptOutcome::kBroken;
  const bool begun = co_await this->ensureStreamBegun(call);
  if (!begun) co_return AttemptOutcome::kAborted;
  co_await this->writer_.endStream();
  co_return AttemptOutcome::kAnswered;
}

bool stream_session::appendEvents(const std::vector<stream_event>& events, std::string& bytes) {
  for (const stream_event& event : events) {
    const bool out_of_order = this->resumable_ && event.id && this->last_event_id_ &&
                              *event.id != *this->last_event_id_ + 1;
    if (out_of_order) return false;
    if (event.id) this->last_event_id_ = event.id;
    bytes += event.raw;
  }
  return true;
}

Task<bool> stream_session::ensureStreamBegun(engine_call& call) {
  if (this->head_sent_) co_return true;
  this->head_sent_ = true;
  http::ResponseHead head;
  head.result(call.status());
  http::copyEndToEndFields(call.head(), head);
  const bool begun = co_await this->writer_.beginStream(std::move(head));
  co_return begun;
}

Task<void> stream_session::endWithoutResponse() {
  if (this->writer_.clientGone()) {
    this->context_.log.onRequestEnded(this->forwarded_, "client_gone", 0, this->policy_);
    co_return;
  }
  if (this->head_sent_) {
    this->context_.log.onRequestEnded(this->forwarded_, "broken_off", 0, this->policy_);
    this->writer_.abortConnection();
    co_return;
  }
  const LocalReply local_reply = this->policy_.localReply(steadyNow());
  const unsigned status = statusOf(local_reply);
  this->context_.log.onRequestEnded(this->forwarded_, "own_answer", status, this->policy_);
  http::Response response = this->context_.replies.makeFinal(this->forwarded_, local_reply);
  co_await this->writer_.send(std::move(response));
}

Instant stream_session::readDeadline() const {
  const Instant deadline = this->forwarded_.deadline;
  if (!this->resumable_) return deadline;
  return std::min<Instant>(steadyNow() + this->context_.timeouts.stream_idle, deadline);
}

}  // namespace linenpier::forward
