#include "forward/forwarder.h"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <cstdio>
#include <cstdlib>

namespace linenpier::forward {

namespace {

constexpr unsigned kServerError = 500;
constexpr unsigned kRefusedStatus = 503;
constexpr unsigned kUnknownStatus = 502;
constexpr unsigned kOutOfTimeStatus = 504;

unsigned statusOf(FinalAnswer answer) {
  switch (answer) {
    case FinalAnswer::kRefused:
      return kRefusedStatus;
    case FinalAnswer::kUnknown:
      return kUnknownStatus;
    case FinalAnswer::kOutOfTime:
      return kOutOfTimeStatus;
  }
  return kUnknownStatus;
}

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

/// What a client has got of an event stream.
struct Forwarder::StreamState {
  bool head_sent = false;
  std::optional<std::uint64_t> last_event;  ///< Passed on to the client, or named by it.
  bool resumable = false;
};

Instant Forwarder::deadlineOf(const routing::Route& route, const http::Request& request,
                              Instant received) const {
  const std::string text = http::fieldText(request, context_.names.deadline_ms);
  Duration limit = route.timeout;
  if (!text.empty()) {
    const auto named = std::chrono::milliseconds(std::strtoll(text.c_str(), nullptr, 10));
    if (named > Duration::zero()) limit = std::min<Duration>(limit, named);
  }
  return received + limit;
}

http::Request Forwarder::outgoing(const ForwardedRequest& forwarded, Instant now) const {
  const http::Request& request = *forwarded.request;
  http::Request copy(request.method(), request.target(), 11);
  copy.method_string(request.method_string());
  http::copyEndToEndFields(request, copy);
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(forwarded.deadline - now);
  copy.set(context_.names.deadline_ms, std::to_string(std::max<std::int64_t>(1, left.count())));
  copy.body() = request.body();
  copy.prepare_payload();
  return copy;
}

http::Response Forwarder::ownAnswer(unsigned status, const std::string& id) const {
  http::Response response(static_cast<boost::beast::http::status>(status), 11);
  if (!id.empty()) response.set(context_.names.request_id, id);
  if (status == kRefusedStatus || status == 429) {
    char seconds[16];
    std::snprintf(seconds, sizeof(seconds), "%.2f", toSeconds(options_.retry_after));
    response.set(context_.names.retry_after, seconds);
  }
  return response;
}

Task<void> Forwarder::serve(routing::RouteTablePtr table, const routing::Route& route,
                            const http::Request& request, Instant received,
                            http::ResponseWriter& writer) {
  const auto shared = std::make_shared<ForwardedRequest>();
  ForwardedRequest& forwarded = *shared;
  forwarded.table = std::move(table);
  forwarded.route = &route;
  forwarded.request = &request;
  forwarded.id = http::fieldText(request, context_.names.request_id);
  forwarded.received = received;
  forwarded.deadline = deadlineOf(route, request, received);
  if (route.kind == routing::RequestKind::kStreaming) {
    co_await serveStream(forwarded, writer);
  } else {
    co_await servePlain(shared, writer);
  }
}

const engines::EngineState* Forwarder::pickEngine(const ForwardedRequest& forwarded,
                                                  const std::set<EngineId>& tried) {
  const Instant now = steadyNow();
  engines::PickRequest wanted;
  wanted.service = dealer_.next(*forwarded.route);
  wanted.excluded = tried;
  wanted.model = ModelName(http::fieldText(*forwarded.request, context_.names.model));
  if (const auto* engine = context_.registry.pick(now, wanted)) return engine;
  for (const routing::WeightedService& each : forwarded.route->services) {
    wanted.service = each.service;
    if (const auto* engine = context_.registry.pick(now, wanted)) return engine;
  }
  if (!tried.empty()) return nullptr;
  wanted.desperate = true;
  for (const routing::WeightedService& each : forwarded.route->services) {
    wanted.service = each.service;
    if (const auto* engine = context_.registry.pick(now, wanted)) return engine;
  }
  return nullptr;
}

Task<void> Forwarder::runAttempt(std::shared_ptr<Race> race, std::shared_ptr<EngineCall> call,
                                 std::shared_ptr<ForwardedRequest> forwarded) {
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
      context_.registry.onPace(steadyNow(), call->engine(), steadyNow() - call->startedAt());
    }
  }
  logAttempt(*forwarded, *call, result.verdict);
  std::erase(race->running, call);
  race->results.push_back(std::move(result));
  race->changed.notifyAll();
}

bool Forwarder::startAttempt(const std::shared_ptr<ForwardedRequest>& forwarded,
                             const std::shared_ptr<Race>& race) {
  const engines::EngineState* engine = pickEngine(*forwarded, race->tried);
  if (engine == nullptr) return false;
  race->tried.insert(engine->record.id);
  const auto call =
      std::make_shared<EngineCall>(context_, *engine, outgoing(*forwarded, steadyNow()));
  race->running.push_back(call);
  spawn(loop_, [this, race, call, forwarded] { return runAttempt(race, call, forwarded); });
  return true;
}

Task<void> Forwarder::servePlain(std::shared_ptr<ForwardedRequest> shared,
                                 http::ResponseWriter& writer) {
  ForwardedRequest& forwarded = *shared;
  const auto race = std::make_shared<Race>(loop_);
  AttemptPolicy policy(*forwarded.route, forwarded.deadline);
  writer.cancellation().onRequest([race] { race->changed.notifyAll(); });
  std::optional<Race::Result> answer;
  while (!answer && !writer.cancellation().requested()) {
    std::vector<Race::Result> results = std::move(race->results);
    race->results.clear();
    for (Race::Result& result : results) {
      policy.onEnded(result.verdict);
      const bool answered = result.verdict == AttemptVerdict::kAnswered;
      const bool failure = answered && result.response.result_int() >= kServerError;
      if (answered && (!failure || !policy.retriesFailures(steadyNow())))
        answer = std::move(result);
    }
    if (answer) break;
    const Instant now = steadyNow();
    if (now >= forwarded.deadline) break;
    bool exhausted = false;
    if (policy.mayStart(now)) {
      exhausted = !startAttempt(shared, race);
      if (!exhausted) policy.onStarted(now);
    }
    if (policy.running() == 0) break;
    const Instant look = exhausted ? forwarded.deadline : policy.nextLook();
    if (race->results.empty()) {
      co_await race->changed.waitFor(std::max<Duration>(look - now, Duration(1000)));
    }
  }
  race->abortAll();
  writer.cancellation().onRequest(nullptr);
  if (writer.cancellation().requested()) {
    logEnd(forwarded, "client_gone", 0, policy);
    co_return;
  }
  if (!answer) {
    const FinalAnswer final_answer = policy.finalAnswer(steadyNow());
    logEnd(forwarded, "own_answer", statusOf(final_answer), policy);
    co_await answerFinally(forwarded, final_answer, writer);
    co_return;
  }
  logEnd(forwarded, "answered", answer->response.result_int(), policy);
  co_await writer.send(std::move(answer->response));
}

Task<void> Forwarder::answerFinally(ForwardedRequest& forwarded, FinalAnswer answer,
                                    http::ResponseWriter& writer) {
  http::Response response = ownAnswer(statusOf(answer), forwarded.id);
  co_await writer.send(std::move(response));
}

Task<void> Forwarder::serveStream(ForwardedRequest& forwarded, http::ResponseWriter& writer) {
  AttemptPolicy policy(*forwarded.route, forwarded.deadline);
  StreamState state;
  state.resumable = forwarded.route->resumable;
  const std::string resumed_at = http::fieldText(*forwarded.request, context_.names.last_event_id);
  if (!resumed_at.empty()) state.last_event = std::strtoull(resumed_at.c_str(), nullptr, 10);
  std::set<EngineId> tried;
  std::shared_ptr<EngineCall> running;
  writer.cancellation().onRequest([&running] {
    if (running) running->abort();
  });
  while (!writer.cancellation().requested()) {
    const Instant now = steadyNow();
    if (!policy.mayStart(now)) break;
    const engines::EngineState* engine = pickEngine(forwarded, tried);
    if (engine == nullptr && tried.size() > 1) {
      // Every engine has been asked: one that broke off may still go on, but not the last one.
      tried = {running->engine()};
      engine = pickEngine(forwarded, tried);
    }
    if (engine == nullptr) break;
    tried.insert(engine->record.id);
    http::Request request = outgoing(forwarded, now);
    if (state.last_event)
      request.set(context_.names.last_event_id, std::to_string(*state.last_event));
    running = std::make_shared<EngineCall>(context_, *engine, std::move(request));
    policy.onStarted(now);
    const AttemptVerdict verdict = co_await relay(forwarded, *running, state, writer);
    logAttempt(forwarded, *running, verdict);
    policy.onEnded(verdict);
    if (verdict == AttemptVerdict::kAnswered) {
      writer.cancellation().onRequest(nullptr);
      logEnd(forwarded, "answered", running->status(), policy);
      co_return;
    }
    // What a client holds of a stream can only go on where the route allows it.
    if (state.head_sent && !state.resumable) break;
  }
  writer.cancellation().onRequest(nullptr);
  running.reset();
  if (writer.cancellation().requested()) {
    logEnd(forwarded, "client_gone", 0, policy);
    co_return;
  }
  if (state.head_sent) {
    logEnd(forwarded, "broken_off", 0, policy);
    writer.breakOff();
    co_return;
  }
  const FinalAnswer final_answer = policy.finalAnswer(steadyNow());
  logEnd(forwarded, "own_answer", statusOf(final_answer), policy);
  co_await answerFinally(forwarded, final_answer, writer);
}

Task<bool> Forwarder::beginClientStream(EngineCall& call, http::ResponseWriter& writer) {
  http::ResponseHead head;
  head.result(call.status());
  http::copyEndToEndFields(call.head(), head);
  co_return co_await writer.beginStream(std::move(head));
}

Task<AttemptVerdict> Forwarder::relay(ForwardedRequest& forwarded, EngineCall& call,
                                      StreamState& state, http::ResponseWriter& writer) {
  const auto stepDeadline = [this, &forwarded, &state] {
    const Instant silence = steadyNow() + options_.stream_silence;
    return state.resumable ? std::min(silence, forwarded.deadline) : forwarded.deadline;
  };
  AttemptLimits limits{steadyNow() + options_.connect_time, stepDeadline()};
  const AttemptVerdict begun = co_await call.start(limits);
  if (begun != AttemptVerdict::kAnswered) co_return begun;
  if (call.status() >= 300) {
    if (state.head_sent) co_return AttemptVerdict::kBroken;
    http::Response response;
    const AttemptVerdict read = co_await call.readWhole(response.body(), forwarded.deadline);
    if (read != AttemptVerdict::kAnswered) co_return read;
    response.result(call.status());
    http::copyEndToEndFields(call.head(), response);
    co_await writer.send(std::move(response));
    co_return AttemptVerdict::kAnswered;
  }
  EventParser parser(context_.names.weight_versions);
  std::vector<StreamEvent> events;
  while (!call.finished()) {
    const AttemptVerdict verdict = co_await call.readEvents(parser, events, stepDeadline());
    std::string bytes;
    for (StreamEvent& event : events) {
      const bool out_of_order =
          state.resumable && event.id && state.last_event && *event.id != *state.last_event + 1;
      if (out_of_order) co_return AttemptVerdict::kBroken;
      if (event.id) state.last_event = event.id;
      bytes += event.raw;
    }
    if (!bytes.empty()) {
      if (!state.head_sent) {
        state.head_sent = true;
        if (!co_await beginClientStream(call, writer)) co_return AttemptVerdict::kAborted;
      }
      if (!co_await writer.writeChunk(std::move(bytes))) co_return AttemptVerdict::kAborted;
    }
    if (verdict != AttemptVerdict::kAnswered) co_return verdict;
  }
  if (!parser.rest().empty()) co_return AttemptVerdict::kBroken;
  if (!state.head_sent) {
    state.head_sent = true;
    if (!co_await beginClientStream(call, writer)) co_return AttemptVerdict::kAborted;
  }
  co_await writer.endStream();
  co_return AttemptVerdict::kAnswered;
}

void Forwarder::logAttempt(const ForwardedRequest& forwarded, EngineCall& call,
                           AttemptVerdict verdict) {
  const engines::EngineState* engine = context_.registry.find(call.engine());
  const std::string service = engine == nullptr ? "gone" : engine->record.service.str();
  metrics_.onAttemptEnded(service, toText(verdict));
  // What went well stands in the request's own line.
  if (verdict == AttemptVerdict::kAnswered) return;
  logging::LogEvent event("forward", "attempt_ended");
  event.text("request", forwarded.id)
      .text("engine", call.engine().str())
      .text("service", service)
      .text("verdict", toText(verdict))
      .milliseconds("took_ms", steadyNow() - call.startedAt());
  if (engine != nullptr) {
    event.number("in_flight", engine->in_flight).number("failures", engine->failures);
    if (engine->load_at != Instant{}) {
      event.real("others", engine->others)
          .milliseconds("load_age_ms", steadyNow() - engine->load_at);
    }
  }
}

void Forwarder::addEngineCounts(const routing::Route& route, Instant now,
                                logging::LogEvent& event) const {
  int known = 0;
  int draining = 0;
  int ejected = 0;
  for (const auto& entry : context_.registry.all()) {
    const engines::EngineState& engine = entry.second;
    const bool serves =
        std::any_of(route.services.begin(), route.services.end(),
                    [&](const auto& each) { return each.service == engine.record.service; });
    if (!serves) continue;
    ++known;
    draining += engine.record.draining ? 1 : 0;
    ejected += now < engine.ejected_until ? 1 : 0;
  }
  event.number("engines", known).number("draining", draining).number("ejected", ejected);
}

void Forwarder::logEnd(const ForwardedRequest& forwarded, const char* outcome, unsigned status,
                       const AttemptPolicy& policy) {
  const Instant now = steadyNow();
  const Duration took = now - forwarded.received;
  metrics_.onRequestEnded(routing::toText(forwarded.route->kind),
                          forwarded.route->services.front().service.str(), outcome,
                          policy.started(), took);
  const bool success = status >= 200 && status < 300;
  if (success && !sampler_.admit(now)) return;
  logging::LogEvent event("forward", "request_ended");
  event.text("request", forwarded.id)
      .text("route", forwarded.route->name.str())
      .number("config", static_cast<std::int64_t>(forwarded.table->version))
      .text("outcome", outcome)
      .number("status", status)
      .number("attempts", policy.started())
      .milliseconds("took_ms", took)
      .milliseconds("left_ms", forwarded.deadline - now);
  if (!success) addEngineCounts(*forwarded.route, now, event);
  if (const auto skipped = sampler_.takeSkipped()) {
    event.number("successes_not_written", static_cast<std::int64_t>(skipped));
  }
}

}  // namespace linenpier::forward
