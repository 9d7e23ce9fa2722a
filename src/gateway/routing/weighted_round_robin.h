#pragma once

/** @file
 * Distributes the requests and items of a route among its services. The only place that decides
 * which service is tried first, and which ones instead if that has no engine for the request. Does
 * no I/O; not thread-safe.
 */

#include <cstdint>
#include <map>
#include <vector>

#include "gateway/routing/configuration.h"

namespace linenpier::routing {

/** Smooth weighted round robin: out of as many turns as the sum of the weights, each service gets
 * exactly as many as its weight. A service that cannot take its turn loses it to the next one in
 * order, so the shares follow the weights while all services have room, and no request waits for a
 * service while another one could serve it.
 */
class weighted_round_robin {
 public:
  /** @param start number that differs between daemons, so that the daemons start with different
   * services. */
  explicit weighted_round_robin(std::uint64_t start) : start_(start) {}

  /** @return the services of the route in the order in which to try them: the one whose turn it is,
   *     then the others, those with the most turns owed first.
   */
  std::vector<ServiceName> order(const Route& route);
  /** Ends the turn of the first service of `order`. Called once per request or started item. */
  void advance(const Route& route);

 private:
  struct route_state {
    std::vector<WeightedService> services;  ///< Services at the last reset of the credits.
    std::vector<double> credits;
  };
  /** @return the indices of the services, the one whose turn it is first. */
  static std::vector<std::size_t> orderOf(const route_state& state);
  static void endTurn(route_state& state);
  /** @return the state of the route; a new one if the services or weights have changed. */
  route_state& stateOf(const Route& route);

  std::uint64_t start_;
  std::map<RouteName, route_state> states_;
};

}  // namespace linenpier::routing
