#pragma once

/** @file
 * How many engines each group of a service should have, without regard to time. Pure.
 *
 * Every group is meant to have its baseline. What cannot be had there, since the zone is closed or
 * lost or the platform has none, is made up for in the groups that are left, on demand first,
 * evenly and within the bounds. With ScalingMode::kDemand the total follows the open work.
 */

#include <set>

#include "gateway/scaling/scaling_options.h"
#include "gateway/scaling/scaling_view.h"

namespace linenpier::scaling {

struct target_inputs {
  const scaling_options& options;
  const fleet::scaling_bounds& bounds;
  const scaling_view& view;
  const fleet::group_counts& baseline;
  std::set<ZoneName> unavailable;  ///< Zones that are closed or lost.
  std::set<fleet::engine_group>
      without_capacity;  ///< Groups that the platform has no more engines for.
};

struct scaling_targets {
  fleet::group_counts wanted;  ///< Groups of zones that are not available are not in it.
  std::size_t missing = 0;     ///< Engines that other groups make up for.
};

scaling_targets computeTargets(const target_inputs& inputs);

/** @return the group's number; 0 if it is not listed. */
std::size_t countOf(const fleet::group_counts& counts, const fleet::engine_group& group);
/** @return the zone's number, both kinds together. */
std::size_t countInZone(const fleet::group_counts& counts, const ZoneName& zone);
/** @return the zones that the counts name. */
std::set<ZoneName> zonesOf(const fleet::group_counts& counts);

}  // namespace linenpier::scaling
