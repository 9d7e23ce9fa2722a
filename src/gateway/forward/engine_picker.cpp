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
  forwarded.service = criteria.service;
  if (engine == nullptr) forwarded.refusals = this->registry_.lastAdmissionFailures();
  return engine;
}

const engines::engine_state* engine_picker::pickWithFallbacks(const routing::Route& route,
                                                              engines::engine_request& criteria) {
  const Instant now = steadyNow();
  const std::vector<ServiceName> services = this->round_robin_.order(route);
  this->round_robin_.advance(route);
  if (const auto* engine = this->pickFrom(now, services, criteria)) return engine;
  // Only the first attempt may fall back to an ejected engine.
  if (!criteria.excluded.empty()) return nullptr;
  criteria.last_resort = true;
  return this->pickFrom(now, services, criteria);
}

const engines::engine_state* engine_picker::pickFrom(Instant now,
                                                     const std::vector<ServiceName>& services,
                                                     engines::engine_request& criteria) {
  for (const ServiceName& service : services) {
    criteria.service = service;
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
