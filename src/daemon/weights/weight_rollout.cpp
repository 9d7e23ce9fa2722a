#include "daemon/weights/weight_rollout.h"

#include <algorithm>

namespace linenpier::weights {

using engine::FencedOrder;
using engine::OrderOutcome;

bool WeightRollout::onHead(const wire::ModelHead& head) {
  WeightVersion& known = heads_[head.model];
  if (head.version <= known) return false;
  known = head.version;
  return true;
}

WeightVersion WeightRollout::head(const ModelName& model) const {
  const auto found = heads_.find(model);
  return found == heads_.end() ? 0 : found->second;
}

std::vector<wire::ModelHead> WeightRollout::heads() const {
  std::vector<wire::ModelHead> result;
  for (const auto& [model, version] : heads_) result.push_back({model, version});
  return result;
}

std::vector<EngineOrder> WeightRollout::onTick(
    Instant now, const std::map<EngineId, upstream::EngineState>& engines,
    const ownership::EngineOwnership& ownership, const std::set<ModelName>& serving_models) {
  std::vector<EngineOrder> orders;
  std::erase_if(progress_, [&](const auto& entry) {
    return !entry.second.busy && !ownership.isAssigned(entry.first);
  });
  for (const auto& [id, engine] : engines) {
    const auto token = ownership.token(id);
    const WeightVersion target = head(engine.seed.model);
    if (!token || !engine.reported || engine.leaving()) continue;
    Progress& progress = progress_[id];
    progress.model = engine.seed.model;
    if (now - progress.confirmed_at > options_.report_lag) {
      // Reports have caught up, and they also tell when an engine came back with old weights.
      progress.prefetched = 0;
      progress.flipped = 0;
    }
    const WeightVersion held = std::max(engine.report.version, progress.flipped);
    if (progress.busy || held >= target || now < progress.not_before) continue;
    const WeightVersion loaded = std::max(engine.report.prefetched, progress.prefetched);
    const auto kind = loaded >= target ? FencedOrder::Kind::kFlip : FencedOrder::Kind::kPrefetch;
    const bool flip = kind == FencedOrder::Kind::kFlip;
    const bool bounded = !flip || serving_models.contains(progress.model);
    const std::size_t bound = flip ? options_.flips_at_once : options_.prefetches_at_once;
    if (bounded && busyWith(kind, progress.model) >= bound) continue;
    progress.busy = true;
    progress.kind = kind;
    orders.push_back({id, {kind, *token, engine.seed.model, target}});
  }
  return orders;
}

void WeightRollout::onOrderDone(Instant now, const EngineId& engine, const FencedOrder& order,
                                OrderOutcome outcome) {
  const auto found = progress_.find(engine);
  if (found == progress_.end()) return;
  Progress& progress = found->second;
  progress.busy = false;
  if (outcome != OrderOutcome::kDone) {
    // A failed swap may have lost what was loaded: begin again from what the engine reports.
    progress.prefetched = 0;
    progress.flipped = 0;
    progress.not_before = now + options_.retry_pause;
    return;
  }
  progress.confirmed_at = now;
  if (order.kind == FencedOrder::Kind::kPrefetch) progress.prefetched = order.version;
  if (order.kind == FencedOrder::Kind::kFlip) progress.flipped = order.version;
}

std::size_t WeightRollout::busyWith(FencedOrder::Kind kind, const ModelName& model) const {
  return static_cast<std::size_t>(
      std::count_if(progress_.begin(), progress_.end(), [&](const auto& entry) {
        const Progress& progress = entry.second;
        return progress.busy && progress.kind == kind && progress.model == model;
      }));
}

}  // namespace linenpier::weights
