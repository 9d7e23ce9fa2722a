#include "gateway/tenants/homes.h"

namespace linenpier::tenants {

fleet::home_regions homesOf(const routing::RouteTable& table, const routing::Route* route,
                            const TenantId& tenant) {
  const fleet::home_regions of_tenant = table.tenants.homesOf(tenant);
  return route == nullptr ? of_tenant : route->homes.both(of_tenant);
}

}  // namespace linenpier::tenants
