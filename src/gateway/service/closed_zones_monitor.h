#pragma once

/** @file
 * Applies the operator's zone closures: engines in a closed zone get no new requests. Holds the set
 * of closed zones and the operator table revision that the set reflects. The set is updated from
 * the operator feed, or from a peer while the operator feed is down.
 */

#include <functional>
#include <map>

#include "gateway/engines/engine_registry.h"
#include "gateway/fleet/closed_zone_tracker.h"

namespace linenpier::gateway {

/** Used only on the event loop thread. */
class closed_zones_monitor {
 public:
  /** @param count_runs returns the number of batch items running in a zone; used for logging only.
   */
  closed_zones_monitor(engines::engine_registry& registry,
                       std::function<std::size_t(const ZoneName&)> count_runs)
      : registry_(registry), count_runs_(std::move(count_runs)) {}

  /** Replaces the set of closed zones by the set at a revision of the operator table.
   * @param source origin of the set, "store" or "peer"; used for logging only.
   */
  void onSnapshot(Revision revision, const std::map<ZoneName, Revision>& closed,
                  const char* source);
  void onZoneClosed(const ZoneName& zone, Revision revision);
  void onZoneOpened(const ZoneName& zone, Revision revision);

  /** @return the operator table revision that the set of closed zones reflects. */
  Revision revision() const { return this->closings_.revision(); }
  /** @return the closed zones, each with the revision of the row that closed it. */
  fleet::closed_zones closed() const { return this->closings_.zones(); }

 private:
  void apply(const fleet::zone_changes& changes, Revision revision, const char* source);
  std::size_t engineCount(const ZoneName& zone) const;

  engines::engine_registry& registry_;
  std::function<std::size_t(const ZoneName&)> count_runs_;
  fleet::closed_zone_tracker closings_;
};

}  // namespace linenpier::gateway
