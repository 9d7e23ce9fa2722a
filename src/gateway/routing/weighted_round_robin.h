#pragma once

/** @file
 * Whose turn it is among the services of a route. Pure state; one owner.
 */

#include <cstdint>
#include <map>
#include <vector>

#include "gateway/routing/route_table.h"

namespace linenpier::routing {

/** Smooth weighted round robin: after each round of as many requests as the weights of a route's
 * services sum to, every service had exactly its share.
 */
class weighted_round_robin {
 public:
  /** @param start a number that differs between daemons, so that they do not all begin with the
   * same service.
   */
  explicit weighted_round_robin(std::uint64_t start) : start_(start) {}

  /** @return the service whose turn it is. */
  ServiceName next(const Route& route);

 private:
  struct route_state {
    std::vector<WeightedService> services;  ///< As they were when the credits were last reset.
    std::vector<double> credits;
  };
  /** @return the index of the service whose turn it is. */
  static std::size_t pickService(route_state& state, double total);

  std::uint64_t start_;
  std::map<RouteName, route_state> states_;
};

}  // namespace linenpier::routing
