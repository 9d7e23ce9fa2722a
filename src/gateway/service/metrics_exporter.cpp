#include "gateway/service/metrics_exporter.h"

#include "common/event_log.h"

namespace linenpier::gateway {

void metrics_exporter::collectScaling(metrics::GatewayState& state) const {
  const routing::ConfigurationPtr configuration = this->sources_.operator_feed.configuration();
  for (const auto& [id, engine] : this->sources_.engines.all()) {
    const engines::engine_record& record = engine.record;
    if (!configuration || record.draining) continue;
    const auto service = configuration->services.find(record.service);
    if (service == configuration->services.end() || !service->second.scaling) continue;
    const auto purchase =
        record.spot ? fleet::PurchaseOption::kSpot : fleet::PurchaseOption::kOnDemand;
    ++state.engines_present[{record.service.str(), record.zone.str(), fleet::toText(purchase)}];
  }
  for (const auto& [service, counts] : this->sources_.scaling.ordered()) {
    for (const auto& [group, count] : counts) {
      state.engines_ordered[{service.str(), group.zone.str(), fleet::toText(group.purchase)}] =
          count;
    }
  }
  state.scaling_orders_sent = this->sources_.scaling.totals().sent;
  state.scaling_orders_refused = this->sources_.scaling.totals().refused;
  state.scaling_orders_unanswered = this->sources_.scaling.totals().unanswered;
}

void metrics_exporter::collectSuspects(Instant now, metrics::GatewayState& state) const {
  state.suspects_known = this->sources_.suspects.registry().size();
  state.suspects_blocked = this->sources_.suspects.registry().barredCount(now);
  state.suspect_engine_crashes = this->sources_.suspects.totals().engine_crashes;
  state.suspect_refusals = this->sources_.suspects.totals().refused;
  state.suspects_cleared = this->sources_.suspects.totals().cleared;
}

void metrics_exporter::collectFeeds(Instant now, metrics::GatewayState& state) const {
  state.config_version = this->sources_.operator_feed.configurationVersion();
  const std::map<std::string, const table::TableWatcher*> watchers = {
      {"operator", &this->sources_.operator_feed.watcher()},
      {"engines", &this->sources_.engine_feed.watcher()},
      {"coordination", &this->sources_.coordination.watcher()}};
  for (const auto& [name, watcher] : watchers) {
    state.feeds_healthy[name] = watcher->healthy();
    state.feed_age_seconds[name] = watcher->read() ? toSeconds(now - watcher->lastAnswer()) : -1;
  }
}

void metrics_exporter::collectEngines(Instant now, metrics::GatewayState& state) const {
  const engines::engine_registry& engines = this->sources_.engines;
  for (const auto& [id, engine] : engines.all()) {
    auto& states = state.engines[engine.record.service.str()];
    const bool closed = engines.closedZones().contains(engine.record.zone);
    const char* name = engine.record.draining         ? "draining"
                       : closed                       ? "zone_closed"
                       : engine.health.isEjected(now) ? "ejected"
                                                      : "usable";
    ++states[name];
  }
  this->sources_.cold_engines.collectMetrics(state, now);
  state.zones_closed = engines.closedZones().all().size();
  state.engines_checked_for_selection = engines.examined();
  state.engine_connections_opened = this->sources_.engine_connections.opened();
}

void metrics_exporter::collectJobs(metrics::GatewayState& state) const {
  const batch::batch_service::job_workload workload = this->sources_.batches.workload();
  state.jobs_known = this->sources_.batches.jobCount();
  state.jobs_owned = workload.jobs;
  state.items_waiting = workload.waiting;
  state.items_running = workload.running;
  state.items_awaiting_score = workload.unscored;
  state.items_in_closed_zones = workload.in_closed_zones;
  state.jobs_without_eligible_owner = workload.awaiting_owner;
  const batch::batch_counts& counts = this->sources_.batches.counts();
  state.items_completed = counts.items_completed;
  state.items_terminated = counts.items_terminated;
  state.item_attempts = counts.item_attempts;
  state.items_scored = counts.items_scored;
  state.scorings_failed = counts.scorings_failed;
  state.jobs_accepted = counts.jobs_accepted;
  state.jobs_refused = counts.jobs_refused;
  state.jobs_unknown = counts.jobs_unknown;
  state.jobs_taken_over = counts.jobs_taken_over;
  state.jobs_refused_for_residency = counts.jobs_refused_for_residency;
  state.jobs_handed_over_for_residency = counts.jobs_handed_over_for_residency;
}

void metrics_exporter::collectLeadership(Instant now, metrics::GatewayState& state) const {
  state.lease_valid = this->sources_.keeper.valid(now);
  state.order_locks_held = this->sources_.rollouts.locksHeld();
  state.orders_sent = this->sources_.rollouts.counts().sent;
  state.orders_unanswered = this->sources_.rollouts.counts().unanswered;
  state.usage_requests_counted = this->sources_.usage.totals().counted;
  state.usage_requests_late = this->sources_.usage.totals().late;
  state.usage_windows_reported = this->sources_.usage.totals().reported;
}

metrics::GatewayState metrics_exporter::collectState() const {
  metrics::GatewayState state;
  const Instant now = steadyNow();
  this->collectFeeds(now, state);
  this->collectEngines(now, state);
  this->collectScaling(state);
  this->collectSuspects(now, state);
  this->collectJobs(state);
  this->collectLeadership(now, state);
  state.client_connections = this->sources_.requests.connections();
  state.requests_in_progress = this->sources_.requests.activeRequests();
  state.log_lines_dropped = logging::droppedLines();
  return state;
}

Task<void> metrics_exporter::handle(http::ResponseWriter& writer) {
  http::Response response;
  response.set(boost::beast::http::field::content_type, "text/plain; version=0.0.4");
  response.body() = this->metrics_.render(this->collectState());
  co_await writer.send(std::move(response));
}

}  // namespace linenpier::gateway
