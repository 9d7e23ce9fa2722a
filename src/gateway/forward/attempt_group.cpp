#include "gateway/forward/attempt_group.h"

namespace linenpier::forward {

bool attempt_group::start(const suspects::sent_attempt& attempt) {
  const engines::engine_state* engine = this->context_.picker.pick(*this->forwarded_, this->tried_);
  if (engine == nullptr) return false;
  this->tried_.insert(engine->record.id);
  const engine_call_context& engines = this->context_.engines;
  const auto call = std::make_shared<engine_call>(
      engines, *engine, makeEngineRequest(engines.names, *this->forwarded_, steadyNow()));
  this->running_.push_back(call);
  const bool fresh_connection = useAddress(*this->forwarded_, engine->record.address);
  spawn(this->context_.loop, [self = this->shared_from_this(), call, attempt, fresh_connection] {
    return self->run(call, attempt, fresh_connection);
  });
  return true;
}

Task<void> attempt_group::run(std::shared_ptr<engine_call> call, suspects::sent_attempt attempt,
                              bool fresh_connection) {
  const auto self = this->shared_from_this();
  result ended;
  ended.outcome = co_await this->readResponse(*call, fresh_connection, ended.response);
  this->context_.runs.onAttemptEnded(*this->forwarded_, *call, ended.outcome);
  bool engine_crashed = false;
  if (ended.outcome == AttemptOutcome::kBroken) {
    engine_crashed = co_await call->engineHasCrashed();
  }
  this->context_.log.onAttemptEnded(*this->forwarded_, *call, ended.outcome, engine_crashed);
  this->context_.admission.onEnded(*this->forwarded_, *call, ended.outcome, attempt,
                                   engine_crashed);
  // The request could crash the engines of the other attempts, too.
  if (engine_crashed) this->abortAll();
  std::erase(this->running_, call);
  this->results_.push_back(std::move(ended));
  this->changed_.notifyAll();
}

Task<AttemptOutcome> attempt_group::readResponse(engine_call& call, bool fresh_connection,
                                                 http::Response& response) {
  const Instant deadline = this->forwarded_->deadline;
  attempt_limits limits{steadyNow() + this->context_.timeouts.connect, deadline, fresh_connection};
  const AttemptOutcome started = co_await call.start(limits);
  if (started != AttemptOutcome::kAnswered) co_return started;
  const AttemptOutcome read = co_await call.readWhole(response.body(), deadline);
  if (read != AttemptOutcome::kAnswered) co_return read;
  response.result(call.status());
  response.reason(call.head().reason());
  http::copyEndToEndFields(call.head(), response);
  const Instant now = steadyNow();
  this->context_.engines.registry.onEventTime(now, call.engine(), now - call.startedAt());
  co_return read;
}

std::vector<attempt_group::result> attempt_group::takeResults() {
  std::vector<result> taken = std::move(this->results_);
  this->results_.clear();
  return taken;
}

Task<void> attempt_group::waitForChange(Duration limit) {
  if (this->results_.empty()) {
    co_await this->changed_.waitFor(limit);
  }
}

void attempt_group::abortAll() {
  for (const auto& call : this->running_) call->abort();
}

}  // namespace linenpier::forward
