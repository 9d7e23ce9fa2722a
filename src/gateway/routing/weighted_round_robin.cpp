#include "gateway/routing/weighted_round_robin.h"

#include <algorithm>
#include <numeric>

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

std::vector<std::size_t> weighted_round_robin::orderOf(const route_state& state) {
  std::vector<std::size_t> order(state.services.size());
  std::iota(order.begin(), order.end(), 0);
  const auto due = [&state](std::size_t i) { return state.credits[i] + state.services[i].weight; };
  std::stable_sort(order.begin(), order.end(),
                   [&due](std::size_t one, std::size_t other) { return due(one) > due(other); });
  return order;
}

void weighted_round_robin::endTurn(route_state& state) {
  const std::size_t first = orderOf(state).front();
  double total = 0;
  for (std::size_t i = 0; i < state.services.size(); ++i) {
    state.credits[i] += state.services[i].weight;
    total += state.services[i].weight;
  }
  state.credits[first] -= total;
}

weighted_round_robin::route_state& weighted_round_robin::stateOf(const Route& route) {
  route_state& state = this->states_[route.name];
  if (sameServices(state.services, route.services)) return state;
  state.services = route.services;
  state.credits.assign(route.services.size(), 0);
  // Each daemon skips some turns at first, so that the daemons don't all start with the same
  // service, which would skew the shares of the services at low load.
  const std::uint64_t skipped = hash64(route.name.str(), this->start_) % kMaxInitialTurns;
  for (std::uint64_t i = 0; i < skipped; ++i) endTurn(state);
  return state;
}

std::vector<ServiceName> weighted_round_robin::order(const Route& route) {
  if (route.services.size() == 1) return {route.services.front().service};
  const route_state& state = this->stateOf(route);
  std::vector<ServiceName> services;
  services.reserve(state.services.size());
  for (const std::size_t i : orderOf(state)) services.push_back(state.services[i].service);
  return services;
}

void weighted_round_robin::advance(const Route& route) {
  if (route.services.size() > 1) endTurn(this->stateOf(route));
}

}  // namespace linenpier::routing
