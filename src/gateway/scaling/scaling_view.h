#pragma once

/** @file
 * What a decision on the number of engines is based on, and what is decided. Values.
 */

#include <map>
#include <optional>
#include <set>

#include "gateway/fleet/scaling_bounds.h"

namespace linenpier::scaling {

/** The engines of a group, as discovery lists them. */
struct observed_engines {
  std::size_t serving = 0;
  std::size_t draining = 0;
  std::size_t reclaimed = 0;  ///< Of those that drain: the platform takes them back.

  bool operator==(const observed_engines&) const = default;
};

/** A service as the leader sees it now. */
struct scaling_view {
  std::map<fleet::engine_group, observed_engines> groups;
  std::set<ZoneName> closed;  ///< By the operator.
  /// Engines that the open work needs; empty: not known, or the mode does not ask.
  std::optional<std::size_t> engines_for_work;

  observed_engines of(const fleet::engine_group& group) const;
};

enum class OrderReason {
  kReplace,  ///< Engines elsewhere are missing.
  kWork,     ///< The open work needs more.
  kRepeat,   ///< What was ordered is not what is listed.
  kSurplus,  ///< No longer needed.
};

const char* toText(OrderReason reason);

/** That a group should have another number of engines. */
struct scaling_decision {
  fleet::engine_group group;
  std::size_t have = 0;    ///< Engines listed as serving.
  std::size_t before = 0;  ///< By the last order, or the baseline.
  std::size_t wanted = 0;
  OrderReason reason = OrderReason::kReplace;

  /** @return whether engines would be taken away: only where they have little to do. */
  bool scalesDown() const { return this->wanted < this->have; }
  bool operator==(const scaling_decision&) const = default;
};

}  // namespace linenpier::scaling
