#include "gateway/fleet/scaling_bounds.h"

namespace linenpier::fleet {

const char* toText(PurchaseOption purchase) {
  return purchase == PurchaseOption::kSpot ? "spot" : "on_demand";
}

}  // namespace linenpier::fleet
