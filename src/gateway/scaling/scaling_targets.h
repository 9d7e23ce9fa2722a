#pragma once

/** @file
 * Computes how many engines each group of a service should have, regardless of when the engines are
 * ordered. Does no I/O.
 *
 * Every group should have its baseline. Engines that are unavailable because the zone is closed or
 * lost, or because the platform lacks capacity, are replaced in the remaining groups: on-demand
 * first, evenly, and within the bounds. With ScalingMode::kDemand the total follows the open work.
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
  /// Groups for which the platform lacks capacity.
  std::set<fleet::engine_group> without_capacity;
};

struct scaling_targets {
  fleet::group_counts wanted;  ///< Wanted counts, without the groups of unavailable zones.
  std::size_t to_replace = 0;  ///< Missing engines to be replaced in other groups.
};

scaling_targets computeTargets(const target_inputs& inputs);

/** @return the group's count; 0 if it is not listed. */
std::size_t countOf(const fleet::group_counts& counts, const fleet::engine_group& group);
/** @return the zone's count of on-demand and spot engines together. */
std::size_t countInZone(const fleet::group_counts& counts, const ZoneName& zone);
/** @return the zones that appear in the counts. */
std::set<ZoneName> zonesOf(const fleet::group_counts& counts);

}  // namespace linenpier::scaling
