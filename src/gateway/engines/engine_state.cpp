#include "gateway/engines/engine_state.h"

#include <utility>

namespace linenpier::engines {

WeightVersion engine_state::versionOf(const ModelName& model) const {
  const auto seen = this->seen_versions.find(model);
  if (seen != this->seen_versions.end()) return seen->second;
  const auto listed = this->record.models.find(model);
  return listed == this->record.models.end() ? 0 : listed->second;
}

void engine_state::onRestarted() {
  engine_state fresh;
  fresh.record = std::move(this->record);
  fresh.load = this->load;
  fresh.load.onRestarted();
  *this = std::move(fresh);
}

void engine_state::setRecord(const engine_record& newer) {
  for (const auto& [model, version] : newer.models) {
    const auto listed = this->record.models.find(model);
    const bool changed = listed == this->record.models.end() || listed->second != version;
    if (changed) this->seen_versions.erase(model);
  }
  this->record = newer;
  this->expired = false;
}

}  // namespace linenpier::engines
