#include "gateway/engines/engine_admission.h"

#include <algorithm>

namespace linenpier::engines {

AdmissionFailure engine_admission::admit(Instant now, const engine_state& engine,
                                         const engine_request& request) const {
  const AdmissionFailure place = this->checkPlacement(engine, request);
  if (place != AdmissionFailure::kNone) return place;
  const AdmissionFailure version = checkVersion(engine, request);
  if (version != AdmissionFailure::kNone) return version;
  if (!this->cold_limiter_.hasRoom(now, request.service, engine.record.id))
    return AdmissionFailure::kCold;
  if (engine.loading.isLoading(now, request.model)) return AdmissionFailure::kLoading;
  if (this->isFull(now, engine, request)) return AdmissionFailure::kFull;
  if (request.last_resort) return AdmissionFailure::kNone;
  if (engine.health.isEjected(now)) return AdmissionFailure::kEjected;
  const bool excluded = request.excluded.contains(engine.record.id);
  return excluded ? AdmissionFailure::kExcluded : AdmissionFailure::kNone;
}

AdmissionFailure engine_admission::checkPlacement(const engine_state& engine,
                                                  const engine_request& request) const {
  if (engine.record.service != request.service) return AdmissionFailure::kWrongService;
  if (engine.record.draining) return AdmissionFailure::kDraining;
  if (this->closed_.contains(engine.record.zone)) return AdmissionFailure::kZoneClosed;
  const bool within_residency =
      request.residency.allows(this->layout_.regionOf(engine.record.zone));
  return within_residency ? AdmissionFailure::kNone : AdmissionFailure::kOutsideResidency;
}

AdmissionFailure engine_admission::checkVersion(const engine_state& engine,
                                                const engine_request& request) {
  if (request.model.empty()) return AdmissionFailure::kNone;
  const WeightVersion version = engine.versionOf(request.model);
  const bool lacks_model = version == 0 && !engine.record.models.empty();
  if (lacks_model) return AdmissionFailure::kVersionMismatch;
  const bool other = request.exact_version && version != *request.exact_version;
  const bool fits = !other && version >= request.minimum_version;
  return fits ? AdmissionFailure::kNone : AdmissionFailure::kVersionMismatch;
}

bool engine_admission::isFull(Instant now, const engine_state& engine,
                              const engine_request& request) const {
  if (request.max_per_slot <= 0) return false;
  const double max_requests = request.max_per_slot * std::max(1U, engine.record.slots);
  return engine.load.total(now, this->load_) >= max_requests;
}

}  // namespace linenpier::engines
