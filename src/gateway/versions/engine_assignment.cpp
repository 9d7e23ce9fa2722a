#include "gateway/versions/engine_assignment.h"

#include <algorithm>

#include "gateway/versions/version_order.h"

namespace linenpier::versions {

namespace {

/// A model releases engines only when it has more than this multiple of what it can use, so that
/// fluctuating demand moves no engines.
constexpr std::size_t kSurplusFactor = 2;

}  // namespace

const std::set<EngineId>& engine_assignment::enginesFor(const ModelName& model) const {
  static const std::set<EngineId> kNone;
  const auto at = this->by_model_.find(model);
  return at == this->by_model_.end() ? kNone : at->second;
}

std::size_t engine_assignment::sizeOf(const ModelName& model) const {
  return this->enginesFor(model).size();
}

void engine_assignment::reset() {
  *this = engine_assignment();
}

void engine_assignment::assign(const engines::engine_state& engine, const ModelName& model) {
  const EngineId& id = engine.record.id;
  this->model_of_[id] = model;
  this->by_model_[model].insert(id);
  ++this->by_zone_[model][engine.record.zone];
  this->zones_[id] = engine.record.zone;
}

void engine_assignment::release(const EngineId& engine) {
  const auto at = this->model_of_.find(engine);
  if (at == this->model_of_.end()) return;
  this->by_model_[at->second].erase(engine);
  --this->by_zone_[at->second][this->zones_[engine]];
  this->zones_.erase(engine);
  this->model_of_.erase(at);
}

void engine_assignment::releaseUnneeded(const engines::engine_list& engines,
                                        const engines_wanted& wanted) {
  std::vector<EngineId> unneeded;
  for (const auto& [id, model] : this->model_of_) {
    if (!engines.contains(id) || !wanted.contains(model)) unneeded.push_back(id);
  }
  for (const EngineId& id : unneeded) this->release(id);
}

void engine_assignment::releaseSurplus(const engines::engine_list& engines,
                                       const engines_wanted& wanted) {
  for (const auto& [model, most] : wanted) {
    if (this->sizeOf(model) <= kSurplusFactor * most) continue;
    std::vector<std::pair<WeightVersion, EngineId>> held;
    for (const EngineId& id : this->enginesFor(model)) {
      held.emplace_back(engines.at(id)->versionOf(model), id);
    }
    // Engines with the oldest weights are released first.
    std::sort(held.begin(), held.end());
    for (std::size_t i = 0; i + most < held.size(); ++i) this->release(held[i].second);
  }
}

ModelName engine_assignment::modelWithFewestEngines(const engines_wanted& wanted) const {
  ModelName found;
  for (const auto& [model, most] : wanted) {
    if (this->sizeOf(model) >= most) continue;
    if (found.empty() || this->sizeOf(model) < this->sizeOf(found)) found = model;
  }
  return found;
}

ModelName engine_assignment::modelWithMostEngines(const engines_wanted& wanted) const {
  return std::max_element(wanted.begin(), wanted.end(),
                          [this](const auto& one, const auto& other) {
                            return this->sizeOf(one.first) < this->sizeOf(other.first);
                          })
      ->first;
}

bool engine_assignment::hasEnoughIn(const ZoneName& zone, const ModelName& model,
                                    std::size_t wanted) const {
  const auto zones = this->by_zone_.find(model);
  if (zones == this->by_zone_.end()) return false;
  const auto there = zones->second.find(zone);
  return there != zones->second.end() && there->second * this->all_zones_.size() >= wanted;
}

void engine_assignment::adopt(const engines::engine_list& engines, const engines_wanted& wanted,
                              const std::map<ModelName, WeightVersion>& newest_versions) {
  if (this->adopted_) return;
  this->adopted_ = true;
  for (const auto& [id, engine] : engines) {
    this->all_zones_.insert(engine->record.zone);
    ModelName held;
    std::size_t held_count = 0;
    for (const auto& [model, most] : wanted) {
      const auto newest = newest_versions.find(model);
      const bool serves = newest != newest_versions.end() &&
                          servesNewestStep(engine->versionOf(model), newest->second);
      if (!serves) continue;
      held = model;
      ++held_count;
    }
    const bool one_model = held_count == 1;
    if (one_model && this->sizeOf(held) < wanted.at(held)) this->assign(*engine, held);
  }
}

void engine_assignment::assignFree(const engines::engine_list& engines,
                                   const engines_wanted& wanted) {
  ModelName model = this->modelWithFewestEngines(wanted);
  auto at = engines.lower_bound(this->next_);
  // The first pass spreads each model's engines over the zones; the second assigns any free engine.
  for (std::size_t seen = 0; seen < 2 * engines.size() && !model.empty(); ++seen) {
    if (this->model_of_.size() == engines.size()) return;
    if (at == engines.end()) at = engines.begin();
    const engines::engine_state& engine = *at->second;
    this->next_ = (at++)->first;
    if (this->model_of_.contains(engine.record.id)) continue;
    this->all_zones_.insert(engine.record.zone);
    const bool spread = seen < engines.size();
    if (spread && this->hasEnoughIn(engine.record.zone, model, wanted.at(model))) continue;
    this->assign(engine, model);
    model = this->modelWithFewestEngines(wanted);
  }
}

void engine_assignment::balance(const engines::engine_list& engines, const engines_wanted& wanted) {
  for (;;) {
    const ModelName to = this->modelWithFewestEngines(wanted);
    const ModelName from = this->modelWithMostEngines(wanted);
    if (to.empty() || this->sizeOf(from) <= this->sizeOf(to) + 1) return;
    const engines::engine_state& moved = *engines.at(*this->enginesFor(from).begin());
    this->release(moved.record.id);
    this->assign(moved, to);
  }
}

void engine_assignment::update(const engines::engine_list& engines, const engines_wanted& wanted,
                               const std::map<ModelName, WeightVersion>& newest_versions) {
  this->releaseUnneeded(engines, wanted);
  if (wanted.empty()) return;
  this->releaseSurplus(engines, wanted);
  this->adopt(engines, wanted, newest_versions);
  this->assignFree(engines, wanted);
  this->balance(engines, wanted);
}

}  // namespace linenpier::versions
