#include "gateway/service/owner_demand.h"

#include <algorithm>

namespace linenpier::gateway {

namespace {

using zone_requirement = lease::pool_requirements::zone_requirement;

/** Owners beyond one per model: one for the engine order lock, and one standby. */
constexpr std::size_t kSpareOwners = 2;
/** Standby owners per residency constraint. */
constexpr std::size_t kSpareOwnersPerPlace = 1;

std::size_t modelCount(const routing::Configuration& table, const routing::Route& route) {
  const auto service = table.services.find(route.services.front().service);
  return service == table.services.end() ? 0 : service->second.models.size();
}

std::set<ZoneName> allowedZones(const fleet::fleet_layout& layout,
                                const fleet::data_residency& residency) {
  std::set<ZoneName> zones;
  for (const auto& [zone, region] : layout.zones()) {
    if (residency.allows(region)) zones.insert(zone);
  }
  return zones;
}

/** Adds a residency constraint, or raises the demand of an equal one. */
void mergePlace(std::vector<zone_requirement>& places, std::set<ZoneName> zones,
                std::size_t min_candidates) {
  if (zones.empty()) return;
  const auto known =
      std::find_if(places.begin(), places.end(),
                   [&zones](const zone_requirement& each) { return each.zones == zones; });
  if (known == places.end()) {
    places.push_back({std::move(zones), min_candidates});
  } else {
    known->min_candidates = std::max(known->min_candidates, min_candidates);
  }
}

}  // namespace

lease::pool_requirements defaultOwnerDemand() {
  return {kSpareOwners, {}};
}

lease::pool_requirements computeOwnerDemand(const routing::Configuration& table,
                                            const fleet::fleet_layout& layout) {
  lease::pool_requirements demand = defaultOwnerDemand();
  for (const auto& [name, service] : table.services) demand.min_candidates += service.models.size();
  for (const routing::Route& route : table.routes) {
    if (route.kind != routing::RequestKind::kBatch) continue;
    const std::size_t min_candidates = modelCount(table, route) + kSpareOwnersPerPlace;
    const auto add = [&](const fleet::data_residency& residency) {
      if (residency.isRestricted())
        mergePlace(demand.zone_requirements, allowedZones(layout, residency), min_candidates);
    };
    add(route.residency);
    for (const routing::tenant& each : table.tenants.all())
      add(route.residency.intersect(each.residency));
  }
  return demand;
}

}  // namespace linenpier::gateway
