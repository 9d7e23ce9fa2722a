/// @file
/// The gateway's metrics at the moment of a scrape.

#include "common/event_log.h"
#include "gateway/service/gateway.h"

namespace linenpier::gateway {

void Gateway::addEngineNumbers(metrics::GatewayState& state) const {
  for (const auto& [id, engine] : registry_.all()) {
    const engines::EngineRecord& record = engine.record;
    if (!routes_ || record.draining) continue;
    const auto service = routes_->services.find(record.service);
    if (service == routes_->services.end() || !service->second.scaling) continue;
    const auto kind = record.spot ? fleet::EngineKind::kSpot : fleet::EngineKind::kOnDemand;
    ++state.engines_present[{record.service.str(), record.zone.str(), fleet::toText(kind)}];
  }
  for (const auto& [service, counts] : scaling_.ordered()) {
    for (const auto& [group, count] : counts) {
      state.engines_ordered[{service.str(), group.zone.str(), fleet::toText(group.kind)}] = count;
    }
  }
  state.scaling_sent = scaling_.totals().sent;
  state.scaling_refused = scaling_.totals().refused;
  state.scaling_unanswered = scaling_.totals().unanswered;
}

void Gateway::addSuspects(Instant now, metrics::GatewayState& state) const {
  state.suspects_known = suspects_.book().size();
  state.suspects_barred = suspects_.book().barred(now);
  state.suspect_engines_ended = suspects_.totals().engines_ended;
  state.suspect_refusals = suspects_.totals().refused;
  state.suspects_cleared = suspects_.totals().cleared;
}

metrics::GatewayState Gateway::state() const {
  metrics::GatewayState state;
  const Instant now = steadyNow();
  state.config_version = routes_ ? routes_->version : 0;
  const std::map<std::string, const table::TableWatcher*> watchers = {
      {"operator", operator_watcher_.get()},
      {"engines", engine_watcher_.get()},
      {"coordination", coordination_watcher_.get()}};
  for (const auto& [name, watcher] : watchers) {
    state.feeds_healthy[name] = watcher->healthy();
    state.feed_ages[name] = watcher->read() ? toSeconds(now - watcher->lastAnswer()) : -1;
  }
  for (const auto& [id, engine] : registry_.all()) {
    auto& states = state.engines[engine.record.service.str()];
    const bool closed = registry_.closedZones().contains(engine.record.zone);
    const char* name = engine.record.draining       ? "draining"
                       : closed                     ? "zone_closed"
                       : now < engine.ejected_until ? "ejected"
                                                    : "usable";
    ++states[name];
  }
  addColdState(now, state);
  const batch::batch_service::job_work work = batches_.work();
  addSuspects(now, state);
  state.jobs_known = batches_.jobCount();
  state.jobs_owned = work.jobs;
  state.items_waiting = work.waiting;
  state.items_running = work.running;
  state.items_unscored = work.unscored;
  state.zones_closed = registry_.closedZones().all().size();
  state.runs_in_closed_zones = work.in_closed_zones;
  state.client_connections = requests_.connections();
  state.requests_in_progress = requests_.busy();
  state.engine_looks = registry_.looks();
  state.engine_connections_opened = engine_pool_.opened();
  state.log_lines_dropped = logging::droppedLines();
  state.lease_valid = keeper_.valid(now);
  state.order_rights_held = orders_.rightsHeld();
  state.usage_requests_counted = usage_.totals().counted;
  state.usage_requests_late = usage_.totals().late;
  state.usage_windows_reported = usage_.totals().reported;
  addEngineNumbers(state);
  state.orders_sent = orders_.counts().sent;
  state.orders_unanswered = orders_.counts().unanswered;
  const batch::batch_counts& counts = batches_.counts();
  state.items_completed = counts.completed;
  state.items_terminated = counts.terminated;
  state.item_attempts = counts.attempts;
  state.items_scored = counts.scored;
  state.scorings_failed = counts.scorings_failed;
  state.jobs_accepted = counts.accepted;
  state.jobs_refused = counts.refused;
  state.jobs_taken_over = counts.taken_over;
  state.jobs_waiting_for_home = work.awaiting_residency;
  state.jobs_refused_for_home = counts.refused_for_residency;
  state.jobs_given_to_home = counts.given_up_for_residency;
  return state;
}

Task<void> Gateway::handleMetrics(http::ResponseWriter& writer) {
  http::Response response;
  response.set(boost::beast::http::field::content_type, "text/plain; version=0.0.4");
  response.body() = metrics_.render(state());
  co_await writer.send(std::move(response));
}

}  // namespace linenpier::gateway
