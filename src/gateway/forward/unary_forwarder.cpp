#include "gateway/forward/unary_forwarder.h"

#include <algorithm>

namespace linenpier::forward {

namespace {

constexpr unsigned kServerError = 500;
/** Minimum wait between two checks of the attempts, so that pending handlers can run. */
constexpr Duration kMinWait = std::chrono::milliseconds(1);

}  // namespace

Task<void> unary_forwarder::serve(std::shared_ptr<forwarded_request> forwarded,
                                  http::ResponseWriter& writer) {
  attempt_policy policy(*forwarded->route, forwarded->deadline);
  attempts_outcome outcome = co_await this->runAttempts(forwarded, policy, writer.cancellation());
  if (writer.clientGone()) {
    this->context_.log.onRequestEnded(*forwarded, "client_gone", 0, policy);
    co_return;
  }
  if (outcome.response) {
    this->context_.log.onRequestEnded(*forwarded, "answered", outcome.response->result_int(),
                                      policy);
    co_await writer.send(std::move(*outcome.response));
    co_return;
  }
  const LocalReply local_reply = policy.localReply(steadyNow());
  this->context_.log.onRequestEnded(*forwarded, "own_answer", statusOf(local_reply), policy);
  http::Response response = this->context_.replies.makeFinal(*forwarded, local_reply);
  co_await writer.send(std::move(response));
}

std::shared_ptr<forwarded_request> unary_forwarder::makeInternal(
    const internal_request& request) const {
  auto forwarded = std::make_shared<forwarded_request>();
  forwarded->table = request.table;
  forwarded->route = request.route;
  forwarded->request = &request.message;
  forwarded->caller.tenant = request.tenant;
  forwarded->id = http::fieldText(request.message, this->context_.engines.names.request_id);
  forwarded->received = steadyNow();
  forwarded->deadline =
      forwarded->received + std::min<Duration>(request.timeout, request.route->timeout);
  forwarded->max_per_slot = request.max_per_slot;
  forwarded->internal = true;
  return forwarded;
}

Task<internal_outcome> unary_forwarder::send(internal_request request) {
  const auto forwarded = this->makeInternal(request);
  attempt_policy policy(*request.route, forwarded->deadline);
  attempts_outcome attempts = co_await this->runAttempts(forwarded, policy, *request.cancellation);
  internal_outcome outcome;
  outcome.failures = attempts.failures;
  outcome.attempts = policy.started();
  outcome.retry_after = forwarded->admission.retry_after;
  if (attempts.response) {
    outcome.status = attempts.response->result_int();
    outcome.signature = http::fieldText(*attempts.response, this->context_.engines.names.signature);
  }
  if (!request.cancellation->requested()) {
    const char* text = attempts.response ? "answered" : "no_answer";
    this->context_.log.onRequestEnded(*forwarded, text, outcome.status, policy);
  }
  co_return outcome;
}

Task<unary_forwarder::attempts_outcome> unary_forwarder::runAttempts(
    std::shared_ptr<forwarded_request> forwarded, attempt_policy& policy,
    http::Cancellation& cancellation) {
  const auto group = std::make_shared<attempt_group>(this->context_, forwarded);
  cancellation.setCallback([group] { group->notify(); });
  attempts_outcome outcome;
  while (!cancellation.requested()) {
    this->processResults(*group, policy, outcome);
    const Instant now = steadyNow();
    if (outcome.response || now >= forwarded->deadline) break;
    Instant next_check = policy.nextCheck();
    if (policy.canStart(now)) {
      const bool started = co_await this->startAttempt(forwarded, *group, policy, cancellation);
      // If no attempt could start, the next one may start only after an attempt in flight ended.
      next_check = started ? policy.nextCheck() : forwarded->deadline;
    }
    if (policy.running() == 0) break;
    co_await group->waitForChange(std::max<Duration>(next_check - now, kMinWait));
  }
  group->abortAll();
  cancellation.setCallback(nullptr);
  co_return outcome;
}

void unary_forwarder::processResults(attempt_group& group, attempt_policy& policy,
                                     attempts_outcome& outcome) const {
  for (attempt_group::result& ended : group.takeResults()) {
    policy.onEnded(ended.outcome);
    if (ended.outcome != AttemptOutcome::kAnswered) continue;
    const unsigned status = ended.response.result_int();
    if (status == kServerError) ++outcome.failures;
    if (status >= kServerError && policy.retriesServerErrors(steadyNow())) continue;
    outcome.response = std::move(ended.response);
  }
}

Task<bool> unary_forwarder::startAttempt(std::shared_ptr<forwarded_request> forwarded,
                                         attempt_group& group, attempt_policy& policy,
                                         http::Cancellation& cancellation) {
  const auto attempt = co_await this->context_.admission.admit(*forwarded, policy.running() == 0);
  if (!attempt) co_return false;
  // The deadline may have passed while the attempt waited for admission.
  const bool over = cancellation.requested() || steadyNow() >= forwarded->deadline;
  if (over || !group.start(*attempt)) {
    this->context_.admission.onNotSent(*forwarded, *attempt);
    co_return false;
  }
  policy.onStarted(steadyNow());
  co_return true;
}

}  // namespace linenpier::forward
