/// @file
/// Runs of owned jobs leave the engines of closed zones, with the text made so far.

#include <limits>

#include "common/event_log.h"
#include "gateway/batch/active_job.h"
#include "gateway/batch/batch_service.h"
#include "gateway/batch/job_rules.h"

namespace linenpier::batch {

using logging::LogEvent;

/// A run at an engine of a closed zone, as `runs_leaving` has it and as this daemon has it.
struct BatchService::run_there {
  ActivePtr active;
  ItemIndex item = 0;
  double events_left = 0;
};

std::vector<placed_run> BatchService::runsInClosedZones(Instant now,
                                                        std::vector<run_there>& there) const {
  const engines::EngineRegistry& registry = deps_.engines.registry;
  std::vector<placed_run> placed;
  for (const auto& [id, job] : jobs_.all()) {
    if (!job.active || job.active->stopped) continue;
    for (const auto& [item, call] : job.active->calls) {
      const engines::EngineState* engine = registry.find(call->engine());
      if (engine == nullptr || !registry.closedZones().contains(engine->record.zone)) continue;
      const double events = lengths_.remainingEvents(job.active->run.job().items[item].length_hint,
                                                     job.active->run.progress(item).last_event);
      const double event_time = registry.expectedEventTime(now, call->engine());
      const double seconds =
          event_time > 0 ? events * event_time : std::numeric_limits<double>::infinity();
      placed.push_back({engine->record.zone, seconds});
      there.push_back({job.active, item, events});
    }
  }
  return placed;
}

std::size_t BatchService::runsIn(const ZoneName& zone) const {
  std::size_t runs = 0;
  for (const auto& [id, job] : jobs_.all()) {
    if (!job.active || job.active->stopped) continue;
    for (const auto& [item, call] : job.active->calls) {
      const engines::EngineState* engine = deps_.engines.registry.find(call->engine());
      if (engine != nullptr && engine->record.zone == zone) ++runs;
    }
  }
  return runs;
}

bool BatchService::leaveEngine(Instant now, const run_there& run, moves_planned& moves) {
  const routing::RouteTablePtr table = deps_.routes();
  const routing::Route* route = routeOf(run.active->record, table);
  if (route == nullptr) return false;
  engines::PickRequest wanted = picks_.pickFor(*run.active, run.item, *route);
  wanted.excluded = moves.full();
  const engines::EngineState* target = deps_.engines.registry.pick(now, wanted);
  if (target == nullptr) return false;
  const EngineId towards = target->record.id;
  moves.onMove(towards, deps_.engines.registry.room(now, towards));
  run.active->calls.at(run.item)->abort();
  return true;
}

void BatchService::leaveClosedZones(Instant now) {
  const fleet::closed_zones& closed = deps_.engines.registry.closedZones();
  if (closed.empty() && leaving_.idle()) return;
  std::vector<run_there> there;
  const std::vector<placed_run> placed = runsInClosedZones(now, there);
  leaving_.onZones(now, closed, placed);
  moves_planned moves(placed.size());
  std::map<ZoneName, std::size_t> left;
  std::map<ZoneName, std::size_t> longest;
  for (const std::size_t i : leaving_.due(now, placed)) {
    if (!leaveEngine(now, there[i], moves)) continue;
    leaving_.onLeft(placed[i].zone);
    ++left[placed[i].zone];
    longest.try_emplace(placed[i].zone, i);
  }
  for (const auto& [zone, runs] : left) {
    const run_there& first = there[longest[zone]];
    LogEvent("batch", "runs_leave_zone")
        .text("zone", zone.str())
        .number("revision", static_cast<std::int64_t>(closed.all().at(zone)))
        .number("leaving", static_cast<std::int64_t>(runs))
        .number("there", static_cast<std::int64_t>(runsIn(zone)))
        .text("longest", first.active->run.job().items[first.item].id.str())
        .real("events_left", first.events_left);
  }
  for (const emptied_zone& each : leaving_.takeEmptied(now, placed)) {
    LogEvent("batch", "zone_empty")
        .text("zone", each.zone.str())
        .milliseconds("after_ms", each.took)
        .number("moved", static_cast<std::int64_t>(each.left));
  }
}

}  // namespace linenpier::batch
