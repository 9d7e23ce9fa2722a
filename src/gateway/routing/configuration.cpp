#include "gateway/routing/configuration.h"

namespace linenpier::routing {

const char* toText(RequestKind kind) {
  switch (kind) {
    case RequestKind::kIdempotent:
      return "idempotent";
    case RequestKind::kNonIdempotent:
      return "non_idempotent";
    case RequestKind::kStreaming:
      return "streaming";
    case RequestKind::kBatch:
      return "batch";
  }
  return "unknown";
}

double Route::shareOf(const ServiceName& service) const {
  double own = 0;
  double total = 0;
  for (const WeightedService& each : this->services) {
    total += each.weight;
    if (each.service == service) own += each.weight;
  }
  return total > 0 ? own / total : 0;
}

const Route* Configuration::find(const std::string& host, const std::string& path) const {
  const std::string host_name = host.substr(0, host.find(':'));
  const Route* best = nullptr;
  for (const Route& route : this->routes) {
    if (route.host != host_name || !path.starts_with(route.path_prefix)) continue;
    if (best == nullptr || route.path_prefix.size() > best->path_prefix.size()) best = &route;
  }
  return best;
}

}  // namespace linenpier::routing
