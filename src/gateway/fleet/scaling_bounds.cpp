#include "gateway/fleet/scaling_bounds.h"

namespace linenpier::fleet {

const char* toText(EngineKind kind) {
  return kind == EngineKind::kSpot ? "spot" : "on_demand";
}

}  // namespace linenpier::fleet
