#include "gateway/forward/plain_requests.h"

#include <algorithm>

namespace linenpier::forward {

namespace {

constexpr unsigned kServerError = 500;
/** The shortest wait between two looks at the attempts: lets the loop run what is due. */
constexpr Duration kMinWait = std::chrono::milliseconds(1);

}  // namespace

Task<void> plain_requests::serve(std::shared_ptr<forwarded_request> forwarded,
                                 http::ResponseWriter& writer) {
  attempt_policy policy(*forwarded->route, forwarded->deadline);
  attempts_outcome outcome = co_await this->runAttempts(forwarded, policy, writer.cancellation());
  if (writer.cancellation().requested()) {
    this->context_.log.onRequestEnded(*forwarded, "client_gone", 0, policy);
    co_return;
  }
  if (outcome.answer) {
    this->context_.log.onRequestEnded(*forwarded, "answered", outcome.answer->result_int(), policy);
    co_await writer.send(std::move(*outcome.answer));
    co_return;
  }
  const LocalReply local_reply = policy.localReply(steadyNow());
  this->context_.log.onRequestEnded(*forwarded, "own_answer", statusOf(local_reply), policy);
  http::Response response = this->context_.replies.makeFinal(*forwarded, local_reply);
  co_await writer.send(std::move(response));
}

std::shared_ptr<forwarded_request> plain_requests::makeInternal(
    const internal_request& request) const {
  auto forwarded = std::make_shared<forwarded_request>();
  forwarded->table = request.table;
  forwarded->route = request.route;
  forwarded->request = &request.message;
  forwarded->from.tenant = request.tenant;
  forwarded->id = http::fieldText(request.message, this->context_.engines.names.request_id);
  forwarded->received = steadyNow();
  forwarded->deadline =
      forwarded->received + std::min<Duration>(request.timeout, request.route->timeout);
  forwarded->max_per_slot = request.max_per_slot;
  forwarded->internal = true;
  return forwarded;
}

Task<internal_outcome> plain_requests::send(internal_request request) {
  const auto forwarded = this->makeInternal(request);
  attempt_policy policy(*request.route, forwarded->deadline);
  attempts_outcome attempts = co_await this->runAttempts(forwarded, policy, *request.cancellation);
  internal_outcome outcome;
  outcome.failures = attempts.failures;
  outcome.attempts = policy.started();
  outcome.retry_after = forwarded->admission.retry_after;
  if (attempts.answer) {
    outcome.status = attempts.answer->result_int();
    outcome.signature = http::fieldText(*attempts.answer, this->context_.engines.names.signature);
  }
  if (!request.cancellation->requested()) {
    const char* text = attempts.answer ? "answered" : "no_answer";
    this->context_.log.onRequestEnded(*forwarded, text, outcome.status, policy);
  }
  co_return outcome;
}

Task<plain_requests::attempts_outcome> plain_requests::runAttempts(
    std::shared_ptr<forwarded_request> forwarded, attempt_policy& policy,
    http::Cancellation& cancellation) {
  const auto race = std::make_shared<attempt_race>(this->context_, forwarded);
  cancellation.onRequest([race] { race->wake(); });
  attempts_outcome outcome;
  while (!cancellation.requested()) {
    this->judgeResults(*race, policy, outcome);
    const Instant now = steadyNow();
    if (outcome.answer || now >= forwarded->deadline) break;
    Instant next_look = policy.nextLook();
    if (policy.mayStart(now)) {
      const bool started = co_await this->startAttempt(forwarded, *race, policy, cancellation);
      // Without an engine now, only the end of a running attempt changes anything.
      next_look = started ? policy.nextLook() : forwarded->deadline;
    }
    if (policy.running() == 0) break;
    co_await race->waitForChange(std::max<Duration>(next_look - now, kMinWait));
  }
  race->abortAll();
  cancellation.onRequest(nullptr);
  co_return outcome;
}

void plain_requests::judgeResults(attempt_race& race, attempt_policy& policy,
                                  attempts_outcome& outcome) const {
  for (attempt_race::result& ended : race.takeResults()) {
    policy.onEnded(ended.verdict);
    if (ended.verdict != AttemptOutcome::kAnswered) continue;
    const unsigned status = ended.response.result_int();
    if (status == kServerError) ++outcome.failures;
    if (status >= kServerError && policy.retriesFailures(steadyNow())) continue;
    outcome.answer = std::move(ended.response);
  }
}

Task<bool> plain_requests::startAttempt(std::shared_ptr<forwarded_request> forwarded,
                                        attempt_race& race, attempt_policy& policy,
                                        http::Cancellation& cancellation) {
  const auto attempt = co_await this->context_.admission.admit(*forwarded, policy.running() == 0);
  if (!attempt) co_return false;
  // The admission may have taken a moment.
  const bool over = cancellation.requested() || steadyNow() >= forwarded->deadline;
  if (over || !race.start(*attempt)) {
    this->context_.admission.onNotSent(*forwarded, *attempt);
    co_return false;
  }
  policy.onStarted(steadyNow());
  co_return true;
}

}  // namespace linenpier::forward
