#pragma once

/** @file
 * How many daemons should offer to own work, and where, by what is configured. Pure.
 */

#include "gateway/fleet/fleet_layout.h"
#include "gateway/lease/owner_pool.h"
#include "gateway/routing/route_table.h"

namespace linenpier::gateway {

/** @return one daemon a model and some to spare; and for each set of homes that batch jobs are
 * bound to, one a model that is trained there and one that can take over.
 */
lease::pool_requirements computeOwnerDemand(const routing::RouteTable& table,
                                            const fleet::fleet_layout& layout);

/** The same before there is a configuration. */
lease::pool_requirements defaultOwnerDemand();

}  // namespace linenpier::gateway
