#include "gateway/batch/run_moves.h"

#include <algorithm>

namespace linenpier::batch {

std::vector<item_run> movableRuns(Instant now, const engines::engine_registry& registry,
                                  const batch_job& job, const std::vector<item_run>& runs,
                                  const run_move_rules& rules) {
  std::map<ServiceName, double> medians;  // Computed once for each service.
  std::vector<item_run> movable;
  for (const item_run& each : runs) {
    if (now - each.started_at < rules.min_run_time) continue;
    const engines::engine_state* engine = registry.find(each.engine);
    if (engine == nullptr) continue;
    const ServiceName& service = engine->record.service;
    const auto [median, fresh] = medians.try_emplace(service, 0);
    if (fresh) median->second = registry.medianEventTime(now, service);
    if (registry.latencyRatio(now, *engine, median->second) < rules.min_speedup) continue;
    movable.push_back(each);
  }
  std::sort(movable.begin(), movable.end(), [&job](const item_run& one, const item_run& other) {
    return job.items[one.item].length_hint > job.items[other.item].length_hint;
  });
  return movable;
}

std::optional<run_move> planMove(Instant now, engines::engine_registry& registry,
                                 const length_estimator& lengths, const batch_run& run,
                                 const item_run& from, const engines::engine_request& wanted,
                                 const run_move_rules& rules) {
  const engines::engine_state* better = registry.pick(now, wanted);
  if (better == nullptr) return std::nullopt;
  run_move move;
  move.target = better->record.id;
  move.latency_ratio = registry.latencyRatio(now, from.engine);
  move.target_latency_ratio = registry.latencyRatio(now, move.target);
  if (move.latency_ratio < rules.min_speedup * move.target_latency_ratio) return std::nullopt;
  move.events_left = lengths.remainingEvents(run.job().items[from.item].length_hint,
                                             run.progress(from.item).last_event);
  const double seconds_an_event =
      registry.expectedEventTime(now, from.engine) - registry.expectedEventTime(now, move.target);
  if (move.events_left * seconds_an_event < toSeconds(rules.min_saving)) return std::nullopt;
  return move;
}

}  // namespace linenpier::batch
