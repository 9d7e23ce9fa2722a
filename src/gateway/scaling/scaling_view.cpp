#include "gateway/scaling/scaling_view.h"

namespace linenpier::scaling {

const char* toText(OrderReason reason) {
  switch (reason) {
    case OrderReason::kReplace:
      return "replace";
    case OrderReason::kWork:
      return "work";
    case OrderReason::kRepeat:
      return "repeat";
    case OrderReason::kSurplus:
      return "surplus";
  }
  return "unknown";
}

observed_engines scaling_view::of(const fleet::engine_group& group) const {
  const auto at = this->groups.find(group);
  return at == this->groups.end() ? observed_engines{} : at->second;
}

}  // namespace linenpier::scaling
