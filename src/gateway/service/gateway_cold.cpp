/// @file
/// What the gateway tells the budget of cold engines, and what it logs of them.

#include <algorithm>

#include "common/event_log.h"
#include "gateway/service/gateway.h"

namespace linenpier::gateway {

using logging::LogEvent;

namespace {
/// Lines a second about engines that were refused requests; the rest is only counted.
constexpr std::size_t kMaxRefusalLines = 5;
}  // namespace

void Gateway::updateColdSenders() {
  engines::cold_senders senders;
  const std::size_t others = leases_.candidates(steadyNow()).size();
  // The pool fills up to what is wanted: all of them may own work before their leases are seen.
  senders.count = std::max(others + 1, demand_.owners);
  senders.self = ownsWork();
  if (senders == registry_.cold().senders()) return;
  registry_.cold().setSenders(senders);
  LogEvent("engines", "cold_senders")
      .number("senders", static_cast<std::int64_t>(senders.count))
      .number("leases", static_cast<std::int64_t>(others))
      .text("self", senders.self ? "yes" : "no");
}

void Gateway::tendColdEngines() {
  const Instant now = steadyNow();
  engines::cold_budget& cold = registry_.cold();
  if (engine_watcher_->read()) cold.onFeedAnswered(engine_watcher_->lastAnswer());
  for (const engines::cold_change& change : cold.takeChanges(now)) {
    LogEvent("engines", change.cold ? "turned_cold" : "turned_warm")
        .text("engine", change.engine.str())
        .milliseconds("left_ms", change.left)
        .milliseconds("heard_age_ms", change.record_age);
  }
  logColdRefusals(cold.takeRefusals());
  registry_.sweep(now);
}

void Gateway::logColdRefusals(std::vector<engines::cold_refusals> refusals) {
  if (refusals.empty()) return;
  std::sort(refusals.begin(), refusals.end(),
            [](const auto& one, const auto& other) { return one.refused > other.refused; });
  const std::size_t engines = refusals.size();
  if (engines > kMaxRefusalLines) refusals.resize(kMaxRefusalLines);
  for (const engines::cold_refusals& each : refusals) {
    LogEvent("engines", "cold_refused")
        .text("engine", each.engine.str())
        .text("limit", engines::toText(each.allowance.limit))
        .number("sent", static_cast<std::int64_t>(each.sent))
        .number("allowed", static_cast<std::int64_t>(each.allowance.requests))
        .number("senders", static_cast<std::int64_t>(registry_.cold().senders().count))
        .number("refused", static_cast<std::int64_t>(each.refused))
        .number("engines", static_cast<std::int64_t>(engines));
  }
}

void Gateway::addColdState(Instant now, metrics::GatewayState& state) const {
  const engines::cold_budget& cold = registry_.cold();
  state.cold_refusals = cold.refused();
  for (const auto& [id, engine] : registry_.all()) {
    const ServiceName& service = engine.record.service;
    if (!cold.isBounded(service)) continue;
    metrics::ColdEngines& told = state.cold_engines[service.str()];
    if (!cold.isCold(now, id)) continue;
    ++told.count;
    const std::size_t sent = cold.sent(now, id);
    told.sent += sent;
    told.max_sent = std::max(told.max_sent, sent);
  }
}

}  // namespace linenpier::gateway
