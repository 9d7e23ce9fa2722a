#pragma once

/** @file
 * Data residency of a request by its route and its tenant.
 */

#include "gateway/fleet/data_residency.h"
#include "gateway/routing/configuration.h"

namespace linenpier::tenants {

/** @param route route of the request; nullptr: no restriction by route.
 * @param tenant tenant of the request; empty or unknown: no restriction by tenant.
 * @return the regions that both the route and the tenant allow.
 */
fleet::data_residency residencyOf(const routing::Configuration& configuration,
                                  const routing::Route* route, const TenantId& tenant);

}  // namespace linenpier::tenants
