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

/** Exclusive upper bound of the number of turns that a daemon skips initially. */
constexpr std::uint64_t kMaxInitialTurns = 97;

}  // namespace

std::size_t weighted_round_robin::pickService(route_state& state, double total) {
  std::size_t best = 0;
  for (std::size_t i = 0; i < state.services.size(); ++i) {
    state.credits[i] += state.services[i].weight;
    if (state.credits[i] > state.credits[best]) best = i;
  }
  state.credits[best] -= total;
  return best;
}

ServiceName weighted_round_robin::next(const Route& route) {
  if (route.services.size() == 1) return route.services.front().service;
  route_state& state = this->states_[route.name];
  double total = 0;
  for (const WeightedService& each : route.services) total += each.weight;
  if (!sameServices(state.services, route.services)) {
    state.services = route.services;
    state.credits.assign(route.services.size(), 0);
    // Each daemon skips some turns at first, so that the daemons don't all start with the same
    // service, which would skew the shares of the services at low load.
    const std::uint64_t skipped = hash64(route.name.str(), this->start_) % kMaxInitialTurns;
    for (std::uint64_t i = 0; i < skipped; ++i) pickService(state, total);
  }
  return route.services[pickService(state, total)].service;
}

}  // namespace linenpier::routing
