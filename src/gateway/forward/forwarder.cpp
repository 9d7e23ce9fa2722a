#include "gateway/forward/forwarder.h"

namespace linenpier::forward {

Task<void> Forwarder::serve(routing::RouteTablePtr table, const routing::Route& route,
                            tenants::caller from, const http::Request& request, Instant received,
                            http::ResponseWriter& writer) {
  const auto shared = std::make_shared<forwarded_request>();
  forwarded_request& forwarded = *shared;
  forwarded.table = std::move(table);
  forwarded.route = &route;
  forwarded.request = &request;
  forwarded.from = std::move(from);
  forwarded.id = http::fieldText(request, context_.names.request_id);
  forwarded.received = received;
  forwarded.deadline = deadlineOf(context_.names, route, request, received);
  if (route.kind == routing::RequestKind::kStreaming) {
    co_await serveStream(forwarded, writer);
  } else {
    co_await servePlain(shared, writer);
  }
}

void Forwarder::logAttempt(forwarded_request& forwarded, EngineCall& call, AttemptVerdict verdict,
                           bool engine_ended) {
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
  if (verdict == AttemptVerdict::kBroken) {
    event.text("key", keyOf(forwarded, call.request()).str())
        .text("engine_ended", engine_ended ? "yes" : "no");
  }
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
  int cold = 0;
  for (const routing::WeightedService& part : route.services) {
    for (const engines::engine_index::entry& entry : context_.registry.known(part.service)) {
      const engines::EngineState& engine = *entry.engine;
      ++known;
      draining += engine.record.draining ? 1 : 0;
      ejected += now < engine.ejected_until ? 1 : 0;
      cold += context_.registry.cold().isCold(now, engine.record.id) ? 1 : 0;
    }
  }
  event.number("engines", known)
      .number("draining", draining)
      .number("ejected", ejected)
      .number("cold", cold);
}

void Forwarder::logEnd(const forwarded_request& forwarded, const char* outcome, unsigned status,
                       const AttemptPolicy& policy) {
  const Instant now = steadyNow();
  const Duration took = now - forwarded.received;
  const char* kind = forwarded.internal ? "internal" : routing::toText(forwarded.route->kind);
  metrics_.onRequestEnded(kind, forwarded.route->services.front().service.str(), outcome,
                          policy.started(), took);
  const bool success = status >= 200 && status < 300;
  if (success && !sampler_.admit(now)) return;
  logging::LogEvent event("forward", "request_ended");
  event.text("request", forwarded.id)
      .text("route", forwarded.route->name.str())
      .text("kind", kind)
      .text("tenant", forwarded.from.tenant.str())
      .number("config", static_cast<std::int64_t>(forwarded.table->version))
      .text("outcome", outcome)
      .number("status", status)
      .number("attempts", policy.started())
      .milliseconds("took_ms", took)
      .milliseconds("left_ms", forwarded.deadline - now);
  if (!success) {
    addEngineCounts(*forwarded.route, now, event);
    event.text("refusals", forwarded.refusals.describe());
  }
  if (const auto skipped = sampler_.takeSkipped()) {
    event.number("successes_not_written", static_cast<std::int64_t>(skipped));
  }
}

}  // namespace linenpier::forward
