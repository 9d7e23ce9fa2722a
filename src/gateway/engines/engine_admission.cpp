#include "gateway/engines/engine_admission.h"

#include <algorithm>

namespace linenpier::engines {

EngineRefusal engine_admission::admit(Instant now, const engine_state& engine,
                                      const engine_request& request) const {
  const EngineRefusal place = this->admitPlace(engine, request);
  if (place != EngineRefusal::kNone) return place;
  const EngineRefusal version = admitVersion(engine, request);
  if (version != EngineRefusal::kNone) return version;
  if (!this->cold_.hasRoom(now, request.service, engine.record.id)) return EngineRefusal::kCold;
  if (engine.loading.isLoading(now, request.model)) return EngineRefusal::kLoading;
  if (this->isFull(now, engine, request)) return EngineRefusal::kFull;
  if (request.last_resort) return EngineRefusal::kNone;
  if (engine.health.isEjected(now)) return EngineRefusal::kEjected;
  const bool excluded = request.excluded.contains(engine.record.id);
  return excluded ? EngineRefusal::kExcluded : EngineRefusal::kNone;
}

EngineRefusal engine_admission::admitPlace(const engine_state& engine,
                                           const engine_request& request) const {
  if (engine.record.service != request.service) return EngineRefusal::kOtherService;
  if (engine.record.draining) return EngineRefusal::kDraining;
  if (this->closed_.contains(engine.record.zone)) return EngineRefusal::kZoneClosed;
  const bool within_residency =
      request.residency.allows(this->layout_.regionOf(engine.record.zone));
  return within_residency ? EngineRefusal::kNone : EngineRefusal::kOutsideResidency;
}

EngineRefusal engine_admission::admitVersion(const engine_state& engine,
                                             const engine_request& request) {
  if (request.model.empty()) return EngineRefusal::kNone;
  const WeightVersion version = engine.versionOf(request.model);
  const bool other = request.exact_version && version != *request.exact_version;
  const bool fits = !other && version >= request.minimum_version;
  return fits ? EngineRefusal::kNone : EngineRefusal::kOlderVersion;
}

bool engine_admission::isFull(Instant now, const engine_state& engine,
                              const engine_request& request) const {
  if (request.max_per_slot <= 0) return false;
  const double max_requests = request.max_per_slot * std::max(1U, engine.record.slots);
  return engine.load.total(now, this->load_) >= max_requests;
}

}  // namespace linenpier::engines
