#pragma once

/** @file
 * What this daemon knows of closed zones, from the feed of the operator's table or from a peer.
 * Takes in only what is newer than what it knows, tracker and openings alike. Pure.
 */

#include <map>
#include <vector>

#include "gateway/fleet/closed_zones.h"

namespace linenpier::fleet {

/** Zones that were open and are closed now, and the reverse. */
struct zone_changes {
  std::vector<ZoneName> closed;
  std::vector<ZoneName> opened;

  bool empty() const { return this->closed.empty() && this->opened.empty(); }
};

class closed_zone_tracker {
 public:
  /** The operator's table was read completely. Replaces the set: a zone that is missing was opened,
   * perhaps while the feed was lost.
   * @param closed zones with the revision of the row that closed each.
   * @param revision at which the table was read; one older than what is known changes nothing.
   */
  zone_changes onSnapshot(Revision revision, const std::map<ZoneName, Revision>& closed);
  /** One row of the table; rows come in the order of their revisions. A row that a table from a
   * peer held already changes nothing.
   */
  zone_changes onClosed(const ZoneName& zone, Revision revision);
  zone_changes onOpened(const ZoneName& zone, Revision revision);

  closed_zones zones() const { return closed_zones(this->closed_); }
  /** @return the revision up to which all rows are known; later ones may be known, too. */
  Revision revision() const { return this->revision_; }

 private:
  std::map<ZoneName, Revision> closed_;
  Revision revision_ = 0;
};

}  // namespace linenpier::fleet
