#pragma once

/** @file
 * Tracks closed zones from a watch on the operator's table and from snapshots of peers. Ignores
 * changes that are older than the known revision. Does no I/O.
 */

#include <map>
#include <vector>

#include "gateway/fleet/closed_zones.h"

namespace linenpier::fleet {

/** Zones whose state changed. */
struct zone_changes {
  std::vector<ZoneName> closed;
  std::vector<ZoneName> opened;

  bool empty() const { return this->closed.empty() && this->opened.empty(); }
};

class closed_zone_tracker {
 public:
  /** Replaces the set of closed zones by a complete read of the operator's table of closed zones. A
   * zone that is missing was opened, possibly while the watch was interrupted.
   * @param revision revision of the read. A read that is older than the known revision is ignored.
   * @param closed closed zones, each with the revision at which the operator closed it.
   */
  zone_changes onSnapshot(Revision revision, const std::map<ZoneName, Revision>& closed);
  /** Applies one row of the operator's table of closed zones. Rows must be applied in the order of
   * their revisions. A row that a snapshot already covers has no effect.
   */
  zone_changes onClosed(const ZoneName& zone, Revision revision);
  zone_changes onOpened(const ZoneName& zone, Revision revision);

  closed_zones zones() const { return closed_zones(this->closed_); }
  /** @return the revision of the last snapshot; later rows may have been applied. */
  Revision revision() const { return this->revision_; }

 private:
  std::map<ZoneName, Revision> closed_;
  Revision revision_ = 0;
};

}  // namespace linenpier::fleet
