#include "gateway/tenants/residency.h"

namespace linenpier::tenants {

fleet::data_residency residencyOf(const routing::Configuration& configuration,
                                  const routing::Route* route, const TenantId& tenant) {
  const fleet::data_residency of_tenant = configuration.tenants.residencyOf(tenant);
  return route == nullptr ? of_tenant : route->residency.intersect(of_tenant);
}

}  // namespace linenpier::tenants
