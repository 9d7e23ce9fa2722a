#include "gateway/engines/engine_index.h"

#include "common/hash.h"
#include "gateway/engines/engine_state.h"

namespace linenpier::engines {

bool engine_index::by_seeded_hash::operator()(const entry& left, const entry& right) const {
  if (left.seeded_hash != right.seeded_hash) return left.seeded_hash < right.seeded_hash;
  return left.engine->record.id < right.engine->record.id;
}

engine_index::entry engine_index::entryOf(const engine_state& engine) const {
  return {hash64(engine.record.id.str(), this->seed_), &engine};
}

void engine_index::add(const engine_state& engine) {
  const entry each = this->entryOf(engine);
  this->services_[engine.record.service].insert(each);
  const auto models = this->models_.find(engine.record.service);
  if (models == this->models_.end()) return;
  for (auto& [model, versions] : models->second) versions[engine.versionOf(model)].insert(each);
}

void engine_index::remove(const engine_state& engine) {
  const entry each = this->entryOf(engine);
  const auto service = this->services_.find(engine.record.service);
  if (service != this->services_.end()) service->second.erase(each);
  const auto models = this->models_.find(engine.record.service);
  if (models == this->models_.end()) return;
  for (auto& [model, versions] : models->second) {
    const auto at = versions.find(engine.versionOf(model));
    if (at == versions.end()) continue;
    at->second.erase(each);
    if (at->second.empty()) versions.erase(at);
  }
}

const engine_index::engine_order& engine_index::ofService(const ServiceName& service) const {
  static const engine_order kNone;
  const auto at = this->services_.find(service);
  return at == this->services_.end() ? kNone : at->second;
}

const engine_index::version_index& engine_index::byVersion(const ServiceName& service,
                                                           const ModelName& model) {
  const auto [at, is_new] = this->models_[service].try_emplace(model);
  if (!is_new) return at->second;
  for (const entry& each : this->ofService(service)) {
    at->second[each.engine->versionOf(model)].insert(each);
  }
  return at->second;
}

}  // namespace linenpier::engines
