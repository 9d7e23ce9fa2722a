#include "gateway/service/engine_changes.h"

#include <algorithm>

namespace linenpier::gateway {

void engine_changes::begin(Revision revision) {
  this->changes_.clear();
  this->from_ = revision;
}

void engine_changes::onChange(const EngineId& engine, Revision revision) {
  this->changes_.push_back({engine, revision});
  if (this->changes_.size() <= this->most_) return;
  this->from_ = std::max(this->from_, this->changes_.front().revision);
  this->changes_.pop_front();
}

std::optional<std::set<EngineId>> engine_changes::since(Revision since) const {
  if (since == 0 || since < this->from_) return std::nullopt;
  std::set<EngineId> changed;
  for (const change& each : this->changes_) {
    if (each.revision == 0 || each.revision > since) changed.insert(each.engine);
  }
  return changed;
}

}  // namespace linenpier::gateway
