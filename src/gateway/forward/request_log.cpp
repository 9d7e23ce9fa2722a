#include "gateway/forward/request_log.h"

namespace linenpier::forward {

namespace {

constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirection = 300;

}  // namespace

void request_log::onAttemptEnded(forwarded_request& forwarded, const engine_call& call,
                                 AttemptOutcome outcome, bool engine_crashed) {
  const engines::engine_state* engine = this->registry_.find(call.engine());
  const std::string service = engine == nullptr ? "gone" : engine->record.service.str();
  this->metrics_.onAttemptEnded(service, toText(outcome));
  if (outcome == AttemptOutcome::kAnswered) return;
  logging::LogEvent event("forward", "attempt_ended");
  event.text("request", forwarded.id)
      .text("engine", call.engine().str())
      .text("service", service)
      .text("verdict", toText(outcome))
      .milliseconds("took_ms", steadyNow() - call.startedAt());
  if (outcome == AttemptOutcome::kBroken) {
    event.text("key", keyOf(forwarded, call.request()).str())
        .text("engine_ended", engine_crashed ? "yes" : "no");
  }
  if (engine != nullptr) {
    event.number("in_flight", engine->load.inFlight())
        .number("failures", engine->health.failures());
    if (engine->load.reportedAt() != Instant{}) {
      event.real("others", engine->load.otherRequests())
          .milliseconds("load_age_ms", steadyNow() - engine->load.reportedAt());
    }
  }
}

void request_log::addEngineCounts(const routing::Route& route, Instant now,
                                  logging::LogEvent& event) const {
  int known = 0;
  int draining = 0;
  int ejected = 0;
  int cold = 0;
  for (const routing::WeightedService& part : route.services) {
    for (const engines::engine_index::entry& entry : this->registry_.allEngines(part.service)) {
      const engines::engine_state& engine = *entry.engine;
      ++known;
      draining += engine.record.draining ? 1 : 0;
      ejected += engine.health.isEjected(now) ? 1 : 0;
      cold += this->registry_.coldLimiter().isCold(now, engine.record.id) ? 1 : 0;
    }
  }
  event.number("engines", known)
      .number("draining", draining)
      .number("ejected", ejected)
      .number("cold", cold);
}

void request_log::onRequestEnded(const forwarded_request& forwarded, const char* outcome,
                                 unsigned status, const attempt_policy& policy) {
  const Instant now = steadyNow();
  const Duration took = now - forwarded.received;
  const char* kind = forwarded.internal ? "internal" : routing::toText(forwarded.route->kind);
  const bool tried = !forwarded.service.empty();
  const ServiceName& service =
      tried ? forwarded.service : forwarded.route->services.front().service;
  this->metrics_.onRequestEnded(kind, service.str(), outcome, policy.started(), took);
  const bool success = status >= kFirstSuccess && status < kFirstRedirection;
  if (success && !this->successes_.admit(now)) return;
  logging::LogEvent event("forward", "request_ended");
  event.text("request", forwarded.id)
      .text("route", forwarded.route->name.str())
      .text("kind", kind)
      .text("tenant", forwarded.caller.tenant.str())
      .number("config", static_cast<std::int64_t>(forwarded.table->version))
      .text("outcome", outcome)
      .number("status", status)
      .number("attempts", policy.started())
      .milliseconds("took_ms", took)
      .milliseconds("left_ms", forwarded.deadline - now);
  if (!success) {
    this->addEngineCounts(*forwarded.route, now, event);
    event.text("refusals", forwarded.refusals.describe());
  }
  if (const auto skipped = this->successes_.takeSkipped()) {
    event.number("successes_not_written", static_cast<std::int64_t>(skipped));
  }
}

}  // namespace linenpier::forward
