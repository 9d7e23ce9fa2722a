#pragma once

/** @file
 * Selects the engine for an attempt. Iterates over the services of the route; the engine registry
 * admits and ranks the engines of a service. Event loop thread only.
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

  /** Sets the source of the newest route table. The data residency rules of that table also apply
   * to requests that arrived under an older table.
   */
  void setResidencySource(std::function<routing::ConfigurationPtr()> newest) {
    this->residency_source_ = std::move(newest);
  }

  /** Selects an engine. Tries the route's services in the order of `weighted_round_robin`. If no
   * engine is found for the first attempt of a request, tries all services again with ejected
   * engines admitted.
   * @param tried engines to exclude.
   * @return nullptr if no engine is admitted; `forwarded.refusals` holds the reasons.
   */
  const engines::engine_state* pick(forwarded_request& forwarded, const std::set<EngineId>& tried);

 private:
  const engines::engine_state* pickWithFallbacks(const routing::Route& route,
                                                 engines::engine_request& criteria);
  /** Tries the services in order. */
  const engines::engine_state* pickFrom(Instant now, const std::vector<ServiceName>& services,
                                        engines::engine_request& criteria);
  fleet::data_residency residencyOf(const forwarded_request& forwarded) const;

  engines::engine_registry& registry_;
  const field_names& names_;
  routing::weighted_round_robin& round_robin_;
  std::function<routing::ConfigurationPtr()> residency_source_;
};

}  // namespace linenpier::forward
