#pragma once

/** @file
 * Input and output of a scaling decision.
 */

#include <map>
#include <optional>
#include <set>

#include "gateway/fleet/scaling_bounds.h"

namespace linenpier::scaling {

/** The engines of a group as listed by discovery. */
struct observed_engines {
  std::size_t serving = 0;
  std::size_t draining = 0;
  std::size_t reclaimed = 0;  ///< Draining engines that the platform reclaims.

  bool operator==(const observed_engines&) const = default;
};

/** The leader's current view of a service. */
struct scaling_view {
  std::map<fleet::engine_group, observed_engines> groups;
  std::set<ZoneName> closed;  ///< Zones closed by the operator.
  /// Engines that the open work needs; empty if unknown or not required by the mode.
  std::optional<std::size_t> engines_for_work;

  observed_engines of(const fleet::engine_group& group) const;
};

enum class OrderReason {
  kReplace,  ///< Replaces engines missing in other groups.
  kWork,     ///< The open work needs more engines.
  kRepeat,   ///< The listed engines differ from the last order.
  kSurplus,  ///< The group has more engines than needed.
};

const char* toText(OrderReason reason);

/** A decision to change the number of engines of a group. */
struct scaling_decision {
  fleet::engine_group group;
  std::size_t have = 0;    ///< Engines listed as serving.
  std::size_t before = 0;  ///< Count of the last order, or the baseline.
  std::size_t wanted = 0;
  OrderReason reason = OrderReason::kReplace;

  /** @return whether running engines would be stopped, which requires a quiet zone. */
  bool scalesDown() const { return this->wanted < this->have; }
  bool operator==(const scaling_decision&) const = default;
};

}  // namespace linenpier::scaling
