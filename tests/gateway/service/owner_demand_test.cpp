#include "gateway/service/owner_demand.h"

#include <criterion/criterion.h>

using namespace linenpier;

namespace {

const fleet::fleet_layout kLayout({{ZoneName("a"), RegionName("near")},
                                   {ZoneName("b"), RegionName("near")},
                                   {ZoneName("c"), RegionName("far")}});

lease::pool_requirements wanted(std::size_t owners,
                                std::vector<lease::pool_requirements::zone_requirement> places) {
  return {owners, std::move(places)};
}

routing::Configuration twoModels() {
  routing::Configuration table;
  routing::Service service;
  service.name = ServiceName("s");
  service.models = {ModelName("m"), ModelName("n")};
  table.services[service.name] = service;
  routing::Route route;
  route.name = RouteName("jobs");
  route.kind = routing::RequestKind::kBatch;
  route.services = {{service.name, 1}};
  table.routes = {route};
  return table;
}

}  // namespace

Test(owner_demand, without_allowed_regions_owners_may_be_anywhere) {
  cr_assert(gateway::computeOwnerDemand(twoModels(), kLayout) == wanted(4, {}));
}

Test(owner_demand, each_set_of_allowed_regions_requires_its_own_owners) {
  routing::Configuration table = twoModels();
  table.routes.front().residency = fleet::data_residency({RegionName("near")});
  const lease::pool_requirements::zone_requirement near{{ZoneName("a"), ZoneName("b")}, 3};
  cr_assert(gateway::computeOwnerDemand(table, kLayout) == wanted(4, {near}));
  routing::tenant far;
  far.name = TenantId("t");
  far.residency = fleet::data_residency({RegionName("far")});
  table.tenants = *routing::tenant_table::make({far});
  cr_assert(gateway::computeOwnerDemand(table, kLayout) == wanted(4, {near}),
            "the two have no region in common");
  table.routes.front().residency = {};
  const lease::pool_requirements::zone_requirement there{{ZoneName("c")}, 3};
  cr_assert(gateway::computeOwnerDemand(table, kLayout) == wanted(4, {there}));
}

Test(owner_demand, other_routes_require_no_owners) {
  routing::Configuration table = twoModels();
  table.routes.front().kind = routing::RequestKind::kIdempotent;
  table.routes.front().residency = fleet::data_residency({RegionName("near")});
  cr_assert(gateway::computeOwnerDemand(table, kLayout).zone_requirements.empty());
}

Test(owner_demand, a_split_route_requires_an_owner_for_each_different_model_of_its_services) {
  routing::Configuration table = twoModels();
  routing::Service other;
  other.name = ServiceName("t");
  other.models = {ModelName("n"), ModelName("o")};
  table.services[other.name] = other;
  table.routes.front().services = {
      {ServiceName("absent"), 1}, {ServiceName("s"), 1}, {other.name, 8}};
  table.routes.front().residency = fleet::data_residency({RegionName("far")});
  cr_assert(gateway::computeOwnerDemand(table, kLayout) == wanted(5, {{{ZoneName("c")}, 4}}));
}
