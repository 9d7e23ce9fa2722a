#include "gateway/engines/engine_table.h"

#include <utility>

namespace linenpier::engines {

bool engine_table::isAvailable(const engine_state& engine) const {
  return !engine.record.draining && !this->closed_.contains(engine.record.zone);
}

void engine_table::removeFromIndexes(const engine_state& engine) {
  this->index_.remove(engine);
  const auto available = this->available_.find(engine.record.service);
  if (available != this->available_.end()) available->second.erase(engine.record.id);
}

void engine_table::addToIndexes(const engine_state& engine) {
  this->index_.add(engine);
  if (this->isAvailable(engine))
    this->available_[engine.record.service][engine.record.id] = &engine;
}

engine_table::engine_map::iterator engine_table::erase(engine_map::iterator at) {
  this->removeFromIndexes(at->second);
  this->active_.remove(at->second);
  return this->engines_.erase(at);
}

void engine_table::setClosedZones(fleet::closed_zones closed) {
  this->closed_ = std::move(closed);
  this->available_.clear();
  for (const auto& [id, engine] : this->engines_) {
    if (this->isAvailable(engine)) this->available_[engine.record.service][id] = &engine;
  }
}

RecordEffect engine_table::onRecord(const engine_record& record) {
  const auto [at, is_new] = this->engines_.try_emplace(record.id);
  engine_state& engine = at->second;
  if (is_new) {
    engine.setRecord(record);
    this->addToIndexes(engine);
    return RecordEffect::kNew;
  }
  const engine_start before = engine.record.start;
  if (startedBefore(record.start, before)) return RecordEffect::kOutdated;
  const bool restarted = startedBefore(before, record.start);
  this->removeFromIndexes(engine);
  if (restarted) engine.onRestarted();
  engine.setRecord(record);
  this->addToIndexes(engine);
  return restarted ? RecordEffect::kRestarted : RecordEffect::kUpdated;
}

std::vector<Address> engine_table::removeMissing(Instant now, const std::set<EngineId>& present) {
  std::vector<Address> removed;
  for (auto at = this->engines_.begin(); at != this->engines_.end();) {
    engine_state& engine = at->second;
    if (present.contains(at->first)) {
      ++at;
    } else if (this->mayHaveExpired(now, engine)) {
      engine.expired = true;
      ++at;
    } else {
      removed.push_back(engine.record.address);
      at = this->erase(at);
    }
  }
  return removed;
}

std::optional<Address> engine_table::onInvalidRecord(const EngineId& id) {
  const auto at = this->engines_.find(id);
  if (at == this->engines_.end()) return std::nullopt;
  const Address address = at->second.record.address;
  this->erase(at);
  return address;
}

std::optional<Address> engine_table::onRemoved(Instant now, const EngineId& id) {
  const auto at = this->engines_.find(id);
  if (at == this->engines_.end()) return std::nullopt;
  if (this->mayHaveExpired(now, at->second)) {
    at->second.expired = true;
    return std::nullopt;
  }
  const Address address = at->second.record.address;
  this->erase(at);
  return address;
}

void engine_table::onStoreReconnected(Instant now, Duration outage) {
  const Duration min_outage =
      fromSeconds(this->options_.min_expiry_heartbeats * toSeconds(this->options_.heartbeat));
  if (outage >= min_outage) this->expiry_ends_at_ = now + this->options_.expiry_grace;
}

std::vector<engine_record> engine_table::removeExpired(Instant now) {
  std::vector<engine_record> dropped;
  if (now < this->expiry_ends_at_) return dropped;
  for (auto at = this->engines_.begin(); at != this->engines_.end();) {
    if (at->second.expired) {
      dropped.push_back(at->second.record);
      at = this->erase(at);
    } else {
      ++at;
    }
  }
  return dropped;
}

void engine_table::onVersionSeen(const EngineId& id, const ModelName& model,
                                 WeightVersion version) {
  // A malformed response may lack the version. A stored version 0, the oldest, would exclude the
  // engine until its record changes.
  if (version == 0) return;
  engine_state* engine = this->find(id);
  if (engine == nullptr || engine->versionOf(model) == version) return;
  this->index_.remove(*engine);
  engine->seen_versions[model] = version;
  this->index_.add(*engine);
}

engine_state* engine_table::find(const EngineId& id) {
  const auto at = this->engines_.find(id);
  return at == this->engines_.end() ? nullptr : &at->second;
}

const engine_state* engine_table::find(const EngineId& id) const {
  const auto at = this->engines_.find(id);
  return at == this->engines_.end() ? nullptr : &at->second;
}

const engine_list& engine_table::availableEngines(const ServiceName& service) const {
  static const engine_list kNone;
  const auto at = this->available_.find(service);
  return at == this->available_.end() ? kNone : at->second;
}

}  // namespace linenpier::engines
