#include "gateway/engines/engine_refusal.h"

#include <algorithm>

namespace linenpier::engines {

const char* toText(EngineRefusal refusal) {
  switch (refusal) {
    case EngineRefusal::kNone:
      return "none";
    case EngineRefusal::kOtherService:
      return "other_service";
    case EngineRefusal::kDraining:
      return "draining";
    case EngineRefusal::kZoneClosed:
      return "zone_closed";
    case EngineRefusal::kOutsideResidency:
      return "not_at_home";
    case EngineRefusal::kOlderVersion:
      return "older_version";
    case EngineRefusal::kCold:
      return "cold";
    case EngineRefusal::kLoading:
      return "loading";
    case EngineRefusal::kFull:
      return "full";
    case EngineRefusal::kEjected:
      return "ejected";
    case EngineRefusal::kExcluded:
      return "excluded";
  }
  return "unknown";
}

EngineRefusal refusal_tally::commonest() const {
  const auto most = std::max_element(this->counts_.begin(), this->counts_.end());
  if (*most == 0) return EngineRefusal::kNone;
  return static_cast<EngineRefusal>(most - this->counts_.begin());
}

std::string refusal_tally::describe() const {
  std::string text;
  for (std::size_t i = 0; i < kEngineRefusals; ++i) {
    if (this->counts_[i] == 0) continue;
    if (!text.empty()) text += ", ";
    text += toText(static_cast<EngineRefusal>(i));
    text += " " + std::to_string(this->counts_[i]);
  }
  return text;
}

}  // namespace linenpier::engines
