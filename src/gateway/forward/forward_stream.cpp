/// @file
/// Streams: events are passed on as they come, and go on at another engine where that is allowed.

#include <boost/beast/http/status.hpp>
#include <cstdlib>

#include "gateway/forward/forwarder.h"

namespace linenpier::forward {

/// What a client has got of an event stream.
struct Forwarder::StreamState {
  bool head_sent = false;
  std::optional<std::uint64_t> last_event;  ///< Passed on to the client, or named by it.
  bool resumable = false;
};

Task<void> Forwarder::serveStream(forwarded_request& forwarded, http::ResponseWriter& writer) {
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
    const engines::EngineState* engine = engine_choice_.pick(forwarded, tried);
    if (engine == nullptr && tried.size() > 1) {
      // Every engine has been asked: one that broke off may still go on, but not the last one.
      tried = {running->engine()};
      engine = engine_choice_.pick(forwarded, tried);
    }
    if (engine == nullptr) break;
    const EngineId chosen = engine->record.id;
    const auto leave = co_await admission_.admit(forwarded, true);
    if (!leave) break;
    // Asking may have taken a moment.
    engine = context_.registry.find(chosen);
    if (engine == nullptr || writer.cancellation().requested()) {
      admission_.onNotSent(forwarded, *leave);
      continue;
    }
    tried.insert(engine->record.id);
    http::Request request = engineMessage(context_.names, forwarded, now);
    if (state.last_event)
      request.set(context_.names.last_event_id, std::to_string(*state.last_event));
    running = std::make_shared<EngineCall>(context_, *engine, std::move(request));
    policy.onStarted(now);
    const AttemptVerdict verdict = co_await relay(forwarded, *running, state, writer);
    bool ended = false;
    if (verdict == AttemptVerdict::kBroken) {
      ended = co_await running->engineHasEnded();
    }
    log_.onAttemptEnded(forwarded, *running, verdict, ended);
    admission_.onEnded(forwarded, *running, verdict, *leave, ended);
    policy.onEnded(verdict);
    if (verdict == AttemptVerdict::kAnswered) {
      writer.cancellation().onRequest(nullptr);
      log_.onRequestEnded(forwarded, "answered", running->status(), policy);
      co_return;
    }
    // What a client holds of a stream can only go on where the route allows it.
    if (state.head_sent && !state.resumable) break;
  }
  writer.cancellation().onRequest(nullptr);
  running.reset();
  if (writer.cancellation().requested()) {
    log_.onRequestEnded(forwarded, "client_gone", 0, policy);
    co_return;
  }
  if (state.head_sent) {
    log_.onRequestEnded(forwarded, "broken_off", 0, policy);
    writer.breakOff();
    co_return;
  }
  const FinalAnswer final_answer = policy.finalAnswer(steadyNow());
  log_.onRequestEnded(forwarded, "own_answer", statusOf(final_answer), policy);
  http::Response response = replies_.makeFinal(forwarded, final_answer);
  co_await writer.send(std::move(response));
}

Task<bool> Forwarder::beginClientStream(EngineCall& call, http::ResponseWriter& writer) {
  http::ResponseHead head;
  head.result(call.status());
  http::copyEndToEndFields(call.head(), head);
  co_return co_await writer.beginStream(std::move(head));
}

Task<AttemptVerdict> Forwarder::relay(forwarded_request& forwarded, EngineCall& call,
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
  // A stream begins to run with its first token, which its head comes with.
  runs_.onRun(forwarded, steadyNow());
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

}  // namespace linenpier::forward
