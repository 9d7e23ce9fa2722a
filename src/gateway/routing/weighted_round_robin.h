#pragma once

/** @file
 * Distributes the requests of a route among its services. Does no I/O; not thread-safe.
 */

#include <cstdint>
#include <map>
#include <vector>

#include "gateway/routing/configuration.h"

namespace linenpier::routing {

/** Smooth weighted round robin: out of as many requests as the sum of the weights, each service
 * gets exactly as many as its weight.
 */
class weighted_round_robin {
 public:
  /** @param start number that differs between daemons, so that the daemons start with different
   * services. */
  explicit weighted_round_robin(std::uint64_t start) : start_(start) {}

  ServiceName next(const Route& route);

 private:
  struct route_state {
    std::vector<WeightedService> services;  ///< Services at the last reset of the credits.
    std::vector<double> credits;
  };
  /** @return the index of the next service. */
  static std::size_t pickService(route_state& state, double total);

  std::uint64_t start_;
  std::map<RouteName, route_state> states_;
};

}  // namespace linenpier::routing
