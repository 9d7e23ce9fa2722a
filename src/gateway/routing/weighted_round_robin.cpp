#include "gateway/routing/weighted_round_robin.h"

#include <algorithm>

#include "common/hash.h"

namespace linenpier::routing {

namespace {

bool sameServices(const std::vector<WeightedService>& left,
                  const std::vector<WeightedService>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const WeightedService& one, const WeightedService& other) {
                      return one.service == other.service && one.weight == other.weight;
                    });
}

/** Bound of the turns that a daemon skips when it first sees the services of a route. */
constexpr std::uint64_t kMaxSkipped = 97;

}  // namespace

std::size_t weighted_round_robin::pickService(balance& of, double total) {
  std::size_t best = 0;
  for (std::size_t i = 0; i < of.services.size(); ++i) {
    of.credits[i] += of.services[i].weight;
    if (of.credits[i] > of.credits[best]) best = i;
  }
  of.credits[best] -= total;
  return best;
}

ServiceName weighted_round_robin::next(const Route& route) {
  if (route.services.size() == 1) return route.services.front().service;
  balance& of = this->balances_[route.name];
  double total = 0;
  for (const WeightedService& each : route.services) total += each.weight;
  if (!sameServices(of.services, route.services)) {
    of.services = route.services;
    of.credits.assign(route.services.size(), 0);
    // Many daemons that see few requests each would otherwise all begin with the same service.
    const std::uint64_t skipped = hash64(route.name.str(), this->start_) % kMaxSkipped;
    for (std::uint64_t i = 0; i < skipped; ++i) pickService(of, total);
  }
  return route.services[pickService(of, total)].service;
}

}  // namespace linenpier::routing
