#pragma once

/** @file
 * What a daemon knows of closed zones, how new that is, and since when. Told by the feed of the
 * operator's table or by another daemon; takes only what is newer than what it knows, closings and
 * openings alike. Pure.
 */

#include <map>
#include <vector>

#include "gateway/fleet/closed_zones.h"

namespace linenpier::fleet {

/** Zones whose engines may be sent nothing any more, and those whose may again. */
struct zone_changes {
  std::vector<ZoneName> closed;
  std::vector<ZoneName> opened;

  bool empty() const { return this->closed.empty() && this->opened.empty(); }
};

class zone_closings {
 public:
  /** The operator's table whole. Replaces the set: a zone that is missing was opened, perhaps while
   * nobody told so.
   * @param revision as of which the table was read; an older one than was told before changes
   *     nothing.
   */
  zone_changes onTable(Revision revision, const std::map<ZoneName, Revision>& closed);
  /** One row of the table, in the order of their revisions. A row that another daemon's table held
   * already changes nothing.
   */
  zone_changes onClosed(const ZoneName& zone, Revision revision);
  zone_changes onOpened(const ZoneName& zone, Revision revision);

  closed_zones zones() const { return closed_zones(this->closed_); }
  /** @return everything in the operator's table up to here is known; rows since then may be, too.
   */
  Revision revision() const { return this->revision_; }

 private:
  std::map<ZoneName, Revision> closed_;
  Revision revision_ = 0;
};

}  // namespace linenpier::fleet
