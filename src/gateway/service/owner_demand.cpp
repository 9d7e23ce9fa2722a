#include "gateway/service/owner_demand.h"

#include <algorithm>
#include <set>

namespace linenpier::gateway {

namespace {

using zone_requirement = lease::pool_requirements::zone_requirement;

/** Number of owners wanted in addition to one per model: one for the engine order lock, and one
 * standby.
 */
constexpr std::size_t kSpareOwners = 2;
/** Number of standby owners wanted within the zones of each zone requirement. */
constexpr std::size_t kSpareOwnersPerZoneRequirement = 1;

/** @return the number of different models of the route's services. */
std::size_t modelCount(const routing::Configuration& configuration, const routing::Route& route) {
  std::set<ModelName> models;
  for (const routing::WeightedService& each : route.services) {
    const auto service = configuration.services.find(each.service);
    if (service == configuration.services.end()) continue;
    models.insert(service->second.models.begin(), service->second.models.end());
  }
  return models.size();
}

std::set<ZoneName> allowedZones(const fleet::fleet_layout& layout,
                                const fleet::data_residency& residency) {
  std::set<ZoneName> zones;
  for (const auto& [zone, region] : layout.zones()) {
    if (residency.allows(region)) zones.insert(zone);
  }
  return zones;
}

/** Adds a zone requirement, or raises the minimum of an existing requirement for the same zones. */
void mergeZoneRequirement(std::vector<zone_requirement>& requirements, std::set<ZoneName> zones,
                          std::size_t min_candidates) {
  if (zones.empty()) return;
  const auto known =
      std::find_if(requirements.begin(), requirements.end(),
                   [&zones](const zone_requirement& each) { return each.zones == zones; });
  if (known == requirements.end()) {
    requirements.push_back({std::move(zones), min_candidates});
  } else {
    known->min_candidates = std::max(known->min_candidates, min_candidates);
  }
}

}  // namespace

lease::pool_requirements defaultOwnerDemand() {
  return {kSpareOwners, {}};
}

lease::pool_requirements computeOwnerDemand(const routing::Configuration& configuration,
                                            const fleet::fleet_layout& layout) {
  lease::pool_requirements demand = defaultOwnerDemand();
  std::set<ModelName> models;
  for (const auto& [name, service] : configuration.services)
    models.insert(service.models.begin(), service.models.end());
  demand.min_candidates += models.size();
  for (const routing::Route& route : configuration.routes) {
    if (route.kind != routing::RequestKind::kBatch) continue;
    const std::size_t min_candidates =
        modelCount(configuration, route) + kSpareOwnersPerZoneRequirement;
    const auto add = [&](const fleet::data_residency& residency) {
      if (residency.isRestricted()) {
        mergeZoneRequirement(demand.zone_requirements, allowedZones(layout, residency),
                             min_candidates);
      }
    };
    add(route.residency);
    for (const routing::tenant& each : configuration.tenants.all())
      add(route.residency.intersect(each.residency));
  }
  return demand;
}

}  // namespace linenpier::gateway
