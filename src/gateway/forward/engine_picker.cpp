#include "gateway/forward/engine_picker.h"

#include "gateway/tenants/residency.h"

namespace linenpier::forward {

const engines::engine_state* engine_picker::pick(forwarded_request& forwarded,
                                                 const std::set<EngineId>& tried) {
  engines::engine_request wanted;
  wanted.excluded = tried;
  wanted.max_per_slot = forwarded.max_per_slot;
  wanted.model = ModelName(http::fieldText(*forwarded.request, this->names_.model));
  wanted.residency = this->residencyOf(forwarded);
  const engines::engine_state* engine = this->pickFrom(*forwarded.route, wanted);
  if (engine == nullptr) forwarded.refusals = this->registry_.lastAdmissionFailures();
  return engine;
}

const engines::engine_state* engine_picker::pickFrom(const routing::Route& route,
                                                     engines::engine_request& wanted) {
  const Instant now = steadyNow();
  wanted.service = this->round_robin_.next(route);
  if (const auto* engine = this->registry_.pick(now, wanted)) return engine;
  if (const auto* engine = this->pickFromAny(now, route, wanted)) return engine;
  // A first attempt goes to an ejected engine rather than to none.
  if (!wanted.excluded.empty()) return nullptr;
  wanted.last_resort = true;
  return this->pickFromAny(now, route, wanted);
}

const engines::engine_state* engine_picker::pickFromAny(Instant now, const routing::Route& route,
                                                        engines::engine_request& wanted) {
  for (const routing::WeightedService& each : route.services) {
    wanted.service = each.service;
    if (const auto* engine = this->registry_.pick(now, wanted)) return engine;
  }
  return nullptr;
}

fleet::data_residency engine_picker::residencyOf(const forwarded_request& forwarded) const {
  const routing::RouteTablePtr newest = this->newest_ ? this->newest_() : forwarded.table;
  const std::string target(forwarded.request->target());
  const std::string path = target.substr(0, target.find('?'));
  const routing::Route* route = newest->find(http::fieldText(*forwarded.request, "Host"), path);
  if (route == nullptr) route = forwarded.route;
  return tenants::residencyOf(*newest, route, forwarded.from.tenant);
}

}  // namespace linenpier::forward
