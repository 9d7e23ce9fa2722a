#include "gateway/versions/engine_shares.h"

#include <algorithm>

namespace linenpier::versions {

namespace {
/// A model gives engines back when it has more than so many times what it can use: demand that
/// swings moves none.
constexpr std::size_t kSpareFactor = 2;
}  // namespace

const std::set<EngineId>& EngineShares::enginesFor(const ModelName& model) const {
  static const std::set<EngineId> kNone;
  const auto at = by_model_.find(model);
  return at == by_model_.end() ? kNone : at->second;
}

std::size_t EngineShares::sizeOf(const ModelName& model) const {
  return enginesFor(model).size();
}

void EngineShares::reset() {
  *this = EngineShares();
}

void EngineShares::pickService(const engines::EngineState& engine, const ModelName& model) {
  const EngineId& id = engine.record.id;
  dealt_[id] = model;
  by_model_[model].insert(id);
  ++by_zone_[model][engine.record.zone];
  zones_[id] = engine.record.zone;
}

void EngineShares::takeBack(const EngineId& engine) {
  const auto at = dealt_.find(engine);
  if (at == dealt_.end()) return;
  by_model_[at->second].erase(engine);
  --by_zone_[at->second][zones_[engine]];
  zones_.erase(engine);
  dealt_.erase(at);
}

void EngineShares::takeBackGone(const engines::EngineList& engines, const EnginesWanted& wanted) {
  std::vector<EngineId> gone;
  for (const auto& [id, model] : dealt_) {
    if (!engines.contains(id) || !wanted.contains(model)) gone.push_back(id);
  }
  for (const EngineId& id : gone) takeBack(id);
}

void EngineShares::takeBackSpare(const engines::EngineList& engines, const EnginesWanted& wanted) {
  for (const auto& [model, most] : wanted) {
    if (sizeOf(model) <= kSpareFactor * most) continue;
    std::vector<std::pair<WeightVersion, EngineId>> held;
    for (const EngineId& id : enginesFor(model)) {
      held.emplace_back(engines.at(id)->versionOf(model), id);
    }
    // The oldest weights go first.
    std::sort(held.begin(), held.end());
    for (std::size_t i = 0; i + most < held.size(); ++i) takeBack(held[i].second);
  }
}

ModelName EngineShares::neediest(const EnginesWanted& wanted) const {
  ModelName found;
  for (const auto& [model, most] : wanted) {
    if (sizeOf(model) >= most) continue;
    if (found.empty() || sizeOf(model) < sizeOf(found)) found = model;
  }
  return found;
}

ModelName EngineShares::largest(const EnginesWanted& wanted) const {
  return std::max_element(wanted.begin(), wanted.end(),
                          [this](const auto& one, const auto& other) {
                            return sizeOf(one.first) < sizeOf(other.first);
                          })
      ->first;
}

bool EngineShares::hasEnoughIn(const ZoneName& zone, const ModelName& model,
                               std::size_t wanted) const {
  const auto zones = by_zone_.find(model);
  if (zones == by_zone_.end()) return false;
  const auto there = zones->second.find(zone);
  return there != zones->second.end() && there->second * all_zones_.size() >= wanted;
}

void EngineShares::adopt(const engines::EngineList& engines, const EnginesWanted& wanted,
                         const std::map<ModelName, WeightVersion>& named) {
  if (adopted_) return;
  adopted_ = true;
  for (const auto& [id, engine] : engines) {
    all_zones_.insert(engine->record.zone);
    ModelName held;
    std::size_t held_count = 0;
    for (const auto& [model, most] : wanted) {
      const auto newest = named.find(model);
      if (newest == named.end() || engine->versionOf(model) + 1 < newest->second) continue;
      held = model;
      ++held_count;
    }
    if (held_count == 1 && sizeOf(held) < wanted.at(held)) pickService(*engine, held);
  }
}

void EngineShares::dealFree(const engines::EngineList& engines, const EnginesWanted& wanted) {
  ModelName model = neediest(wanted);
  auto at = engines.lower_bound(next_);
  // The first time round each model's engines are spread over the zones, the second time any do.
  for (std::size_t looks = 0; looks < 2 * engines.size() && !model.empty(); ++looks) {
    if (dealt_.size() == engines.size()) return;
    if (at == engines.end()) at = engines.begin();
    const engines::EngineState& engine = *at->second;
    next_ = (at++)->first;
    if (dealt_.contains(engine.record.id)) continue;
    all_zones_.insert(engine.record.zone);
    const bool spread = looks < engines.size();
    if (spread && hasEnoughIn(engine.record.zone, model, wanted.at(model))) continue;
    pickService(engine, model);
    model = neediest(wanted);
  }
}

void EngineShares::evenOut(const engines::EngineList& engines, const EnginesWanted& wanted) {
  for (;;) {
    const ModelName to = neediest(wanted);
    const ModelName from = largest(wanted);
    if (to.empty() || sizeOf(from) <= sizeOf(to) + 1) return;
    const engines::EngineState& moved = *engines.at(*enginesFor(from).begin());
    takeBack(moved.record.id);
    pickService(moved, to);
  }
}

void EngineShares::update(const engines::EngineList& engines, const EnginesWanted& wanted,
                          const std::map<ModelName, WeightVersion>& named) {
  takeBackGone(engines, wanted);
  if (wanted.empty()) return;
  takeBackSpare(engines, wanted);
  adopt(engines, wanted, named);
  dealFree(engines, wanted);
  evenOut(engines, wanted);
}

}  // namespace linenpier::versions
