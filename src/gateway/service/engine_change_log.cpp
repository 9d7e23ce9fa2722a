#include "gateway/service/engine_change_log.h"

#include <algorithm>

namespace linenpier::gateway {

void engine_change_log::reset(Revision revision) {
  this->changes_.clear();
  this->complete_since_ = revision;
}

void engine_change_log::record(const EngineId& engine, Revision revision) {
  this->changes_.push_back({engine, revision});
  if (this->changes_.size() <= this->capacity_) return;
  this->complete_since_ = std::max(this->complete_since_, this->changes_.front().revision);
  this->changes_.pop_front();
}

std::optional<std::set<EngineId>> engine_change_log::changedSince(Revision since) const {
  if (since == 0 || since < this->complete_since_) return std::nullopt;
  std::set<EngineId> changed;
  for (const change& each : this->changes_) {
    if (each.revision == 0 || each.revision > since) changed.insert(each.engine);
  }
  return changed;
}

}  // namespace linenpier::gateway
