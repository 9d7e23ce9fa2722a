#pragma once

/** @file
 * Chooses the engine for an attempt of a client's or an internal request.
 *
 * Decides only over the services of the route; which engine of a service is admitted, and which of
 * those is best, is the registry's job. Loop thread only.
 */

#include <functional>
#include <set>

#include "gateway/engines/engine_registry.h"
#include "gateway/forward/forwarded_request.h"
#include "gateway/routing/weighted_round_robin.h"

namespace linenpier::forward {

class engine_picker {
 public:
  engine_picker(engines::engine_registry& registry, const field_names& names,
                routing::weighted_round_robin& round_robin)
      : registry_(registry), names_(names), round_robin_(round_robin) {}

  /** From now on the residency of the newest table binds, also for requests that came under an
   * older one.
   */
  void setResidencySource(std::function<routing::RouteTablePtr()> newest) {
    this->residency_source_ = std::move(newest);
  }

  /** Asks the service whose turn it is, then the route's other services, then, for a request that
   * has tried no engine yet, all of them again with ejected engines admitted.
   * @param tried engines that are not asked again.
   * @return nullptr if no engine is admitted; `forwarded.refusals` has the reasons.
   */
  const engines::engine_state* pick(forwarded_request& forwarded, const std::set<EngineId>& tried);

 private:
  const engines::engine_state* pickFromRoute(const routing::Route& route,
                                             engines::engine_request& criteria);
  const engines::engine_state* pickFromAnyService(Instant now, const routing::Route& route,
                                                  engines::engine_request& criteria);
  fleet::data_residency residencyOf(const forwarded_request& forwarded) const;

  engines::engine_registry& registry_;
  const field_names& names_;
  routing::weighted_round_robin& round_robin_;
  std::function<routing::RouteTablePtr()> residency_source_;
};

}  // namespace linenpier::forward
