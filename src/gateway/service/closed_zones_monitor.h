#pragma once

/** @file
 * Applies the operator's closings of zones: the engines of a closed zone are sent nothing new from
 * the moment at which the closing is known. Owns which zones are closed, and as of which revision
 * of the operator's table; relies on the registry of engines, which no longer admits requests
 * there. Told by the feed of the operator's table, or by a peer while that feed is lost.
 */

#include <functional>
#include <map>

#include "gateway/engines/engine_registry.h"
#include "gateway/fleet/zone_closings.h"

namespace linenpier::gateway {

/** Loop thread only. */
class closed_zones_monitor {
 public:
  /** @param count_runs counts the runs of batch items in a zone, for the log. */
  closed_zones_monitor(engines::engine_registry& registry,
                       std::function<std::size_t(const ZoneName&)> count_runs)
      : registry_(registry), count_runs_(std::move(count_runs)) {}

  /** All closed zones as of a revision of the operator's table.
   * @param source "store" or "peer", for the log.
   */
  void onSnapshot(Revision revision, const std::map<ZoneName, Revision>& closed,
                  const char* source);
  void onZoneClosed(const ZoneName& zone, Revision revision);
  void onZoneOpened(const ZoneName& zone, Revision revision);

  /** @return the revision of the operator's table that the closed zones are as of. */
  Revision revision() const { return this->closings_.revision(); }
  /** @return the closed zones, with the revision of the row that closed each. */
  fleet::closed_zones closed() const { return this->closings_.zones(); }

 private:
  void apply(const fleet::zone_changes& changes, Revision revision, const char* source);
  std::size_t engineCount(const ZoneName& zone) const;

  engines::engine_registry& registry_;
  std::function<std::size_t(const ZoneName&)> count_runs_;
  fleet::zone_closings closings_;
};

}  // namespace linenpier::gateway
