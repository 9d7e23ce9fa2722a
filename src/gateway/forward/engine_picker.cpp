#include "gateway/forward/engine_picker.h"

#include "gateway/tenants/residency.h"

namespace linenpier::forward {

const engines::engine_state* engine_picker::pick(forwarded_request& forwarded,
                                                 const std::set<EngineId>& tried) {
  engines::engine_request criteria;
  criteria.excluded = tried;
  criteria.max_per_slot = forwarded.max_per_slot;
  criteria.model = ModelName(http::fieldText(*forwarded.request, this->names_.model));
  criteria.residency = this->residencyOf(forwarded);
  const engines::engine_state* engine = this->pickWithFallbacks(*forwarded.route, criteria);
  if (engine == nullptr) forwarded.refusals = this->registry_.lastAdmissionFailures();
  return engine;
}

const engines::engine_state* engine_picker::pickWithFallbacks(const routing::Route& route,
                                                              engines::engine_request& criteria) {
  const Instant now = steadyNow();
  criteria.service = this->round_robin_.next(route);
  if (const auto* engine = this->registry_.pick(now, criteria)) return engine;
  if (const auto* engine = this->pickInServiceOrder(now, route, criteria)) return engine;
  // Only the first attempt may fall back to an ejected engine.
  if (!criteria.excluded.empty()) return nullptr;
  criteria.last_resort = true;
  return this->pickInServiceOrder(now, route, criteria);
}

const engines::engine_state* engine_picker::pickInServiceOrder(Instant now,
                                                               const routing::Route& route,
                                                               engines::engine_request& criteria) {
  for (const routing::WeightedService& each : route.services) {
    criteria.service = each.service;
    if (const auto* engine = this->registry_.pick(now, criteria)) return engine;
  }
  return nullptr;
}

fleet::data_residency engine_picker::residencyOf(const forwarded_request& forwarded) const {
  const routing::ConfigurationPtr newest =
      this->residency_source_ ? this->residency_source_() : forwarded.table;
  const std::string target(forwarded.request->target());
  const std::string path = target.substr(0, target.find('?'));
  const routing::Route* route = newest->find(http::fieldText(*forwarded.request, "Host"), path);
  if (route == nullptr) route = forwarded.route;
  return tenants::residencyOf(*newest, route, forwarded.caller.tenant);
}

}  // namespace linenpier::forward
