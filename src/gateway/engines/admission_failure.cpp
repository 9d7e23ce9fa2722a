#include "gateway/engines/admission_failure.h"

#include <algorithm>

namespace linenpier::engines {

const char* toText(AdmissionFailure failure) {
  switch (failure) {
    case AdmissionFailure::kNone:
      return "none";
    case AdmissionFailure::kWrongService:
      return "other_service";
    case AdmissionFailure::kDraining:
      return "draining";
    case AdmissionFailure::kZoneClosed:
      return "zone_closed";
    case AdmissionFailure::kOutsideResidency:
      return "not_at_home";
    case AdmissionFailure::kVersionMismatch:
      return "older_version";
    case AdmissionFailure::kCold:
      return "cold";
    case AdmissionFailure::kLoading:
      return "loading";
    case AdmissionFailure::kFull:
      return "full";
    case AdmissionFailure::kEjected:
      return "ejected";
    case AdmissionFailure::kExcluded:
      return "excluded";
  }
  return "unknown";
}

AdmissionFailure admission_failure_counts::mostFrequent() const {
  const auto most = std::max_element(this->counts_.begin(), this->counts_.end());
  if (*most == 0) return AdmissionFailure::kNone;
  return static_cast<AdmissionFailure>(most - this->counts_.begin());
}

std::string admission_failure_counts::describe() const {
  std::string text;
  for (std::size_t i = 0; i < kAdmissionFailures; ++i) {
    if (this->counts_[i] == 0) continue;
    if (!text.empty()) text += ", ";
    text += toText(static_cast<AdmissionFailure>(i));
    text += " " + std::to_string(this->counts_[i]);
  }
  return text;
}

}  // namespace linenpier::engines
