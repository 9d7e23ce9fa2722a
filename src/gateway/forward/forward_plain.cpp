/// @file
/// Requests with one whole answer: attempts that may run beside each other, for clients and for the
/// system itself.

#include "gateway/forward/forwarder.h"

namespace linenpier::forward {

namespace {
constexpr unsigned kServerError = 500;
}  // namespace

/// Attempts of one request that run beside each other.
struct Forwarder::Race {
  explicit Race(boost::asio::io_context& loop) : changed(loop) {}

  struct Result {
    AttemptVerdict verdict = AttemptVerdict::kBroken;
    EngineId engine;
    http::Response response;
  };

  Signal changed;
  std::vector<Result> results;  ///< Not looked at yet.
  std::vector<std::shared_ptr<EngineCall>> running;
  std::set<EngineId> tried;

  void abortAll() {
    for (const auto& call : running) call->abort();
  }
};

Task<void> Forwarder::runAttempt(std::shared_ptr<Race> race, std::shared_ptr<EngineCall> call,
                                 std::shared_ptr<forwarded_request> forwarded,
                                 suspects::sent_attempt attempt) {
  const Instant deadline = forwarded->deadline;
  Race::Result result;
  result.engine = call->engine();
  AttemptLimits limits{steadyNow() + options_.connect_time, deadline};
  result.verdict = co_await call->start(limits);
  if (result.verdict == AttemptVerdict::kAnswered) {
    result.verdict = co_await call->readWhole(result.response.body(), deadline);
    if (result.verdict == AttemptVerdict::kAnswered) {
      result.response.result(call->status());
      result.response.reason(call->head().reason());
      http::copyEndToEndFields(call->head(), result.response);
      context_.registry.onEventTime(steadyNow(), call->engine(), steadyNow() - call->startedAt());
    }
  }
  runs_.onAttemptEnded(*forwarded, *call, result.verdict);
  bool ended = false;
  if (result.verdict == AttemptVerdict::kBroken) {
    ended = co_await call->engineHasEnded();
  }
  log_.onAttemptEnded(*forwarded, *call, result.verdict, ended);
  admission_.onEnded(*forwarded, *call, result.verdict, attempt, ended);
  // The other engines that run it would end as well.
  if (ended) race->abortAll();
  std::erase(race->running, call);
  race->results.push_back(std::move(result));
  race->changed.notifyAll();
}

bool Forwarder::startAttempt(const std::shared_ptr<forwarded_request>& forwarded,
                             const std::shared_ptr<Race>& race,
                             const suspects::sent_attempt& attempt) {
  const engines::EngineState* engine = engine_choice_.pick(*forwarded, race->tried);
  if (engine == nullptr) return false;
  race->tried.insert(engine->record.id);
  const auto call = std::make_shared<EngineCall>(
      context_, *engine, engineMessage(context_.names, *forwarded, steadyNow()));
  race->running.push_back(call);
  spawn(loop_, [this, race, call, forwarded, attempt] {
    return runAttempt(race, call, forwarded, attempt);
  });
  return true;
}

Task<Forwarder::plain_outcome> Forwarder::runAttempts(std::shared_ptr<forwarded_request> forwarded,
                                                      AttemptPolicy& policy,
                                                      http::Cancellation& cancellation) {
  const auto race = std::make_shared<Race>(loop_);
  cancellation.onRequest([race] { race->changed.notifyAll(); });
  plain_outcome outcome;
  while (!outcome.answer && !cancellation.requested()) {
    std::vector<Race::Result> results = std::move(race->results);
    race->results.clear();
    for (Race::Result& result : results) {
      policy.onEnded(result.verdict);
      if (result.verdict != AttemptVerdict::kAnswered) continue;
      const bool failure = result.response.result_int() >= kServerError;
      if (result.response.result_int() == kServerError) ++outcome.failures;
      if (!failure || !policy.retriesFailures(steadyNow()))
        outcome.answer = std::move(result.response);
    }
    if (outcome.answer) break;
    const Instant now = steadyNow();
    if (now >= forwarded->deadline) break;
    bool exhausted = false;
    if (policy.mayStart(now)) {
      const auto leave = co_await admission_.admit(*forwarded, policy.running() == 0);
      // Asking may have taken a moment.
      const bool over = cancellation.requested() || steadyNow() >= forwarded->deadline;
      exhausted = !leave || over || !startAttempt(forwarded, race, *leave);
      if (!exhausted) policy.onStarted(steadyNow());
      if (exhausted && leave) admission_.onNotSent(*forwarded, *leave);
    }
    if (policy.running() == 0) break;
    const Instant look = exhausted ? forwarded->deadline : policy.nextLook();
    if (race->results.empty()) {
      co_await race->changed.waitFor(std::max<Duration>(look - now, Duration(1000)));
    }
  }
  race->abortAll();
  cancellation.onRequest(nullptr);
  co_return outcome;
}

Task<void> Forwarder::servePlain(std::shared_ptr<forwarded_request> forwarded,
                                 http::ResponseWriter& writer) {
  AttemptPolicy policy(*forwarded->route, forwarded->deadline);
  plain_outcome outcome = co_await runAttempts(forwarded, policy, writer.cancellation());
  if (writer.cancellation().requested()) {
    log_.onRequestEnded(*forwarded, "client_gone", 0, policy);
    co_return;
  }
  if (!outcome.answer) {
    const FinalAnswer final_answer = policy.finalAnswer(steadyNow());
    log_.onRequestEnded(*forwarded, "own_answer", statusOf(final_answer), policy);
    http::Response response = replies_.makeFinal(*forwarded, final_answer);
    co_await writer.send(std::move(response));
    co_return;
  }
  log_.onRequestEnded(*forwarded, "answered", outcome.answer->result_int(), policy);
  co_await writer.send(std::move(*outcome.answer));
}

Task<internal_outcome> Forwarder::send(internal_request request) {
  const auto forwarded = std::make_shared<forwarded_request>();
  forwarded->table = request.table;
  forwarded->route = request.route;
  forwarded->request = &request.message;
  forwarded->from.tenant = request.tenant;
  forwarded->id = http::fieldText(request.message, context_.names.request_id);
  forwarded->received = steadyNow();
  forwarded->deadline =
      forwarded->received + std::min<Duration>(request.limit, request.route->timeout);
  forwarded->max_per_slot = request.max_per_slot;
  forwarded->internal = true;
  AttemptPolicy policy(*request.route, forwarded->deadline);
  plain_outcome plain = co_await runAttempts(forwarded, policy, *request.cancellation);
  internal_outcome outcome;
  outcome.failures = plain.failures;
  outcome.attempts = policy.started();
  outcome.wait = forwarded->held.wait;
  if (plain.answer) {
    outcome.status = plain.answer->result_int();
    outcome.signature = http::fieldText(*plain.answer, context_.names.signature);
  }
  if (!request.cancellation->requested()) {
    log_.onRequestEnded(*forwarded, plain.answer ? "answered" : "no_answer", outcome.status,
                        policy);
  }
  co_return outcome;
}

}  // namespace linenpier::forward
