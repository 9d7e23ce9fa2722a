#include "gateway/batch/slow_run_mover.h"

#include <algorithm>

#include "common/event_log.h"
#include "gateway/batch/active_job.h"
#include "gateway/batch/job_rules.h"

namespace linenpier::batch {

using logging::LogEvent;

void slow_run_mover::moveSlowRuns(Instant now) {
  planned_moves moves(this->deps_.options.move_rules.max_moves_per_poll);
  for (auto& [id, job] : this->deps_.jobs.all()) {
    if (!job.active || job.active->stopped) continue;
    this->moveRunsOf(now, *job.active, moves);
    if (moves.exhausted()) return;
  }
}

void slow_run_mover::moveRunsOf(Instant now, active_job& active, planned_moves& moves) {
  const routing::ConfigurationPtr table = this->deps_.routes();
  const routing::Route* route = routeOf(active.record, table);
  // Waiting items take precedence over moves.
  if (route == nullptr || route->single_version || active.run.waiting() > 0) return;
  std::vector<item_run> runs;
  for (const auto& [item, call] : active.calls) {
    runs.push_back({item, call->engine(), call->startedAt()});
  }
  const auto movable = movableRuns(now, this->deps_.registry, active.run.job(), runs,
                                   this->deps_.options.move_rules);
  for (const item_run& run : movable) {
    if (moves.exhausted()) return;
    this->moveRun(now, active, run, *route, moves);
  }
}

void slow_run_mover::moveRun(Instant now, active_job& active, const item_run& run,
                             const routing::Route& route, planned_moves& moves) {
  engines::engine_registry& registry = this->deps_.registry;
  const engines::engine_state* engine = registry.find(run.engine);
  if (engine == nullptr) return;
  // Engines are compared within their service, so that moves do not change the services' shares.
  auto services = this->deps_.engine_requirements.build(active, run.item, route);
  const auto wanted = std::find_if(services.begin(), services.end(), [engine](const auto& each) {
    return each.service == engine->record.service;
  });
  if (wanted == services.end()) return;
  wanted->excluded = moves.fullEngines();
  wanted->excluded.insert(run.engine);
  const auto move = planMove(now, registry, this->deps_.lengths, active.run, run, *wanted,
                             this->deps_.options.move_rules);
  if (!move) return;
  LogEvent("batch", "run_moved")
      .text("item", active.run.job().items[run.item].id.str())
      .text("from", run.engine.str())
      .text("towards", move->target.str())
      .real("events_left", move->events_left)
      .real("slowness", move->latency_ratio)
      .real("slowness_there", move->target_latency_ratio);
  moves.add(move->target, registry.freeSlots(now, move->target));
  active.calls.at(run.item)->abort();
}

}  // namespace linenpier::batch
