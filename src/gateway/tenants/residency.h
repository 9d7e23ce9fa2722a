#pragma once

/** @file
 * Where requests may be served, cached and stored, by their route and their tenant. Pure.
 */

#include "gateway/fleet/data_residency.h"
#include "gateway/routing/route_table.h"

namespace linenpier::tenants {

/** @param route nullptr: no restriction by a route.
 * @param tenant empty or unknown: no restriction by a tenant.
 * @return the regions that both allow.
 */
fleet::data_residency residencyOf(const routing::RouteTable& table, const routing::Route* route,
                                  const TenantId& tenant);

}  // namespace linenpier::tenants
