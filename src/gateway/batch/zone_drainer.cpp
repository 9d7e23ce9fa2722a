#include "gateway/batch/zone_drainer.h"

#include <limits>

#include "common/event_log.h"
#include "gateway/batch/active_job.h"
#include "gateway/batch/job_rules.h"

namespace linenpier::batch {

using logging::LogEvent;

/** Job and item of a `placed_run`. */
struct zone_drainer::located_run {
  active_job_ptr active;
  ItemIndex item = 0;
  double events_left = 0;
};

std::vector<placed_run> zone_drainer::runsInClosedZones(Instant now,
                                                        std::vector<located_run>& located) const {
  const engines::engine_registry& registry = this->deps_.registry;
  std::vector<placed_run> placed;
  for (const auto& [id, job] : this->deps_.jobs.all()) {
    if (!job.active || job.active->stopped) continue;
    for (const auto& [item, call] : job.active->calls) {
      const engines::engine_state* engine = registry.find(call->engine());
      if (engine == nullptr || !registry.closedZones().contains(engine->record.zone)) continue;
      const double events = this->deps_.lengths.remainingEvents(
          job.active->run.job().items[item].length_hint, job.active->run.progress(item).last_event);
      const double event_time = registry.expectedEventTime(now, call->engine());
      const double seconds =
          event_time > 0 ? events * event_time : std::numeric_limits<double>::infinity();
      placed.push_back({engine->record.zone, seconds});
      located.push_back({job.active, item, events});
    }
  }
  return placed;
}

std::size_t zone_drainer::runsIn(const ZoneName& zone) const {
  std::size_t runs = 0;
  for (const auto& [id, job] : this->deps_.jobs.all()) {
    if (!job.active || job.active->stopped) continue;
    for (const auto& [item, call] : job.active->calls) {
      const engines::engine_state* engine = this->deps_.registry.find(call->engine());
      if (engine != nullptr && engine->record.zone == zone) ++runs;
    }
  }
  return runs;
}

bool zone_drainer::moveRun(Instant now, const located_run& run, planned_moves& moves) {
  const routing::ConfigurationPtr table = this->deps_.routes();
  const routing::Route* route = routeOf(run.active->record, table);
  if (route == nullptr) return false;
  auto wanted = this->deps_.engine_requirements.build(*run.active, run.item, *route);
  for (engines::engine_request& each : wanted) each.excluded = moves.fullEngines();
  const engines::engine_state* target = pickFrom(now, this->deps_.registry, wanted);
  if (target == nullptr) return false;
  const EngineId towards = target->record.id;
  moves.add(towards, this->deps_.registry.freeSlots(now, towards));
  run.active->calls.at(run.item)->abort();
  return true;
}

void zone_drainer::drainClosedZones(Instant now) {
  const fleet::closed_zones& closed = this->deps_.registry.closedZones();
  if (closed.empty() && this->schedule_.idle()) return;
  std::vector<located_run> located;
  const std::vector<placed_run> placed = this->runsInClosedZones(now, located);
  this->schedule_.onZones(now, closed, placed);
  planned_moves moves(placed.size());
  std::map<ZoneName, std::size_t> moved;
  std::map<ZoneName, std::size_t> longest;
  for (const std::size_t i : this->schedule_.due(now, placed)) {
    if (!this->moveRun(now, located[i], moves)) continue;
    this->schedule_.onRunMoved(placed[i].zone);
    ++moved[placed[i].zone];
    longest.try_emplace(placed[i].zone, i);
  }
  for (const auto& [zone, runs] : moved) {
    const located_run& first = located[longest[zone]];
    LogEvent("batch", "runs_leave_zone")
        .text("zone", zone.str())
        .number("revision", static_cast<std::int64_t>(closed.all().at(zone)))
        .number("leaving", static_cast<std::int64_t>(runs))
        .number("there", static_cast<std::int64_t>(this->runsIn(zone)))
        .text("longest", first.active->run.job().items[first.item].id.str())
        .real("events_left", first.events_left);
  }
  for (const drained_zone& each : this->schedule_.takeDrained(now, placed)) {
    LogEvent("batch", "zone_empty")
        .text("zone", each.zone.str())
        .milliseconds("after_ms", each.took)
        .number("moved", static_cast<std::int64_t>(each.moved));
  }
}

}  // namespace linenpier::batch
