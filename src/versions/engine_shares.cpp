#include "versions/engine_shares.h"

#include <algorithm>

namespace linenpier::versions {

bool EngineShares::isFor(const EngineId& engine, const ModelName& model) const {
  const auto at = dealt_.find(engine);
  return at != dealt_.end() && at->second == model;
}

std::size_t EngineShares::sizeOf(const ModelName& model) const {
  return static_cast<std::size_t>(std::count_if(
      dealt_.begin(), dealt_.end(), [&](const auto& each) { return each.second == model; }));
}

ModelName EngineShares::smallest(const std::set<ModelName>& models) const {
  return *std::min_element(
      models.begin(), models.end(),
      [this](const ModelName& one, const ModelName& other) { return sizeOf(one) < sizeOf(other); });
}

ModelName EngineShares::largest(const std::set<ModelName>& models) const {
  return *std::max_element(
      models.begin(), models.end(),
      [this](const ModelName& one, const ModelName& other) { return sizeOf(one) < sizeOf(other); });
}

void EngineShares::dropGone(const std::vector<const engines::EngineState*>& engines,
                            const std::set<ModelName>& models) {
  std::erase_if(dealt_, [&](const auto& each) {
    const bool present = std::any_of(
        engines.begin(), engines.end(),
        [&](const engines::EngineState* engine) { return engine->record.id == each.first; });
    return !present || !models.contains(each.second);
  });
}

void EngineShares::dealNew(const std::vector<const engines::EngineState*>& engines,
                           const std::set<ModelName>& models,
                           const std::map<ModelName, WeightVersion>& named) {
  for (const engines::EngineState* engine : engines) {
    if (dealt_.contains(engine->record.id)) continue;
    // A daemon that has just taken over goes on with what the engines hold.
    ModelName held;
    std::size_t held_count = 0;
    for (const ModelName& model : models) {
      const auto newest = named.find(model);
      if (newest == named.end() || engine->versionOf(model) + 1 < newest->second) continue;
      held = model;
      ++held_count;
    }
    dealt_[engine->record.id] = held_count == 1 ? held : smallest(models);
  }
}

void EngineShares::evenOut(const std::set<ModelName>& models) {
  for (;;) {
    const ModelName from = largest(models);
    const ModelName to = smallest(models);
    if (sizeOf(from) <= sizeOf(to) + 1) return;
    const auto moved = std::find_if(dealt_.begin(), dealt_.end(),
                                    [&](const auto& each) { return each.second == from; });
    moved->second = to;
  }
}

void EngineShares::update(const std::vector<const engines::EngineState*>& engines,
                          const std::set<ModelName>& models,
                          const std::map<ModelName, WeightVersion>& named) {
  dropGone(engines, models);
  if (models.empty()) return;
  dealNew(engines, models, named);
  evenOut(models);
}

}  // namespace linenpier::versions
