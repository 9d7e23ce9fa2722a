#pragma once

/** @file
 * Computes from the configuration how many gateways should own work, and in which zones.
 */

#include "gateway/fleet/fleet_layout.h"
#include "gateway/lease/owner_pool.h"
#include "gateway/routing/configuration.h"

namespace linenpier::gateway {

/** @return the numbers of owners wanted: one per model plus spares and, for each data residency
 * constraint on batch jobs, one per model and one spare within the allowed zones.
 */
lease::pool_requirements computeOwnerDemand(const routing::Configuration& configuration,
                                            const fleet::fleet_layout& layout);

/** @return the numbers of owners wanted until a configuration is loaded. */
lease::pool_requirements defaultOwnerDemand();

}  // namespace linenpier::gateway
