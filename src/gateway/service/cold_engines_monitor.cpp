#include "gateway/service/cold_engines_monitor.h"

#include <algorithm>

#include "common/event_log.h"

namespace linenpier::gateway {

using logging::LogEvent;

namespace {

/** Maximum number of log lines per report about engines for which requests were refused. Each line
 * is about one engine and also gives the total number of these engines.
 */
constexpr std::size_t kMaxRefusalLines = 5;

}  // namespace

void cold_engines_monitor::updateSenders(std::size_t owners_wanted, bool owns_work) {
  const std::size_t others = this->leases_.candidates(steadyNow()).size();
  engines::cold_senders senders;
  // The count is at least the target number of owners, since a new owner may send requests before
  // this gateway has read its lease.
  senders.count = std::max(others + 1, owners_wanted);
  senders.self = owns_work;
  if (senders == this->registry_.coldLimiter().senders()) return;
  this->registry_.coldLimiter().setSenders(senders);
  LogEvent("engines", "cold_senders")
      .number("senders", static_cast<std::int64_t>(senders.count))
      .number("leases", static_cast<std::int64_t>(others))
      .text("self", senders.self ? "yes" : "no");
}

void cold_engines_monitor::report(Instant now, const table::TableWatcher& feed) {
  engines::cold_engine_limiter& cold = this->registry_.coldLimiter();
  if (feed.read()) cold.onWatchAnswered(feed.lastAnswer());
  for (const engines::cold_change& change : cold.takeChanges(now)) {
    LogEvent("engines", change.cold ? "turned_cold" : "turned_warm")
        .text("engine", change.engine.str())
        .milliseconds("left_ms", change.left)
        .milliseconds("heard_age_ms", change.record_age);
  }
  this->logRefusals(cold.takeRefusals());
}

void cold_engines_monitor::logRefusals(std::vector<engines::cold_refusals> refusals) const {
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
        .number("senders", static_cast<std::int64_t>(this->registry_.coldLimiter().senders().count))
        .number("refused", static_cast<std::int64_t>(each.refused))
        .number("engines", static_cast<std::int64_t>(engines));
  }
}

void cold_engines_monitor::collectMetrics(metrics::GatewayState& state, Instant now) const {
  const engines::cold_engine_limiter& cold = this->registry_.coldLimiter();
  state.cold_refusals = cold.refused();
  for (const auto& [id, engine] : this->registry_.all()) {
    const ServiceName& service = engine.record.service;
    if (!cold.isBounded(service)) continue;
    metrics::ColdEngines& counted = state.cold_engines[service.str()];
    if (!cold.isCold(now, id)) continue;
    ++counted.count;
    const std::size_t sent = cold.sent(now, id);
    counted.sent += sent;
    counted.max_sent = std::max(counted.max_sent, sent);
  }
}

}  // namespace linenpier::gateway
