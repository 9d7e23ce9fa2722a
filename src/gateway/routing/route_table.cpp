#include "gateway/routing/route_table.h"

#include <algorithm>

#include "common/hash.h"

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

const Route* RouteTable::find(const std::string& host, const std::string& path) const {
  const std::string host_name = host.substr(0, host.find(':'));
  const Route* best = nullptr;
  for (const Route& route : routes) {
    if (route.host != host_name || !path.starts_with(route.path_prefix)) continue;
    if (best == nullptr || route.path_prefix.size() > best->path_prefix.size()) best = &route;
  }
  return best;
}

namespace {

bool sameServices(const std::vector<WeightedService>& left,
                  const std::vector<WeightedService>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const WeightedService& one, const WeightedService& other) {
                      return one.service == other.service && one.weight == other.weight;
                    });
}

constexpr std::uint64_t kMaxSkipped = 97;

}  // namespace

std::size_t weighted_round_robin::pickService(Balance& balance, double total) {
  std::size_t best = 0;
  for (std::size_t i = 0; i < balance.services.size(); ++i) {
    balance.credits[i] += balance.services[i].weight;
    if (balance.credits[i] > balance.credits[best]) best = i;
  }
  balance.credits[best] -= total;
  return best;
}

ServiceName weighted_round_robin::next(const Route& route) {
  if (route.services.size() == 1) return route.services.front().service;
  Balance& balance = balances_[route.name];
  double total = 0;
  for (const WeightedService& each : route.services) total += each.weight;
  if (!sameServices(balance.services, route.services)) {
    balance.services = route.services;
    balance.credits.assign(route.services.size(), 0);
    // Daemons that see few requests would otherwise all begin with the same service.
    const std::uint64_t skipped = hash64(route.name.str(), start_) % kMaxSkipped;
    for (std::uint64_t i = 0; i < skipped; ++i) pickService(balance, total);
  }
  return route.services[pickService(balance, total)].service;
}

}  // namespace linenpier::routing
