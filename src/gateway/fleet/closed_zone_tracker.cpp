#include "gateway/fleet/closed_zone_tracker.h"

namespace linenpier::fleet {

zone_changes closed_zone_tracker::onSnapshot(Revision revision,
                                             const std::map<ZoneName, Revision>& closed) {
  zone_changes changes;
  if (revision < this->revision_) return changes;
  for (const auto& [zone, since] : this->closed_) {
    if (!closed.contains(zone)) changes.opened.push_back(zone);
  }
  for (const auto& [zone, since] : closed) {
    if (!this->closed_.contains(zone)) changes.closed.push_back(zone);
  }
  this->closed_ = closed;
  this->revision_ = revision;
  return changes;
}

zone_changes closed_zone_tracker::onClosed(const ZoneName& zone, Revision revision) {
  zone_changes changes;
  if (revision <= this->revision_) return changes;
  if (!this->closed_.contains(zone)) changes.closed.push_back(zone);
  this->closed_[zone] = revision;
  return changes;
}

zone_changes closed_zone_tracker::onOpened(const ZoneName& zone, Revision revision) {
  zone_changes changes;
  if (revision <= this->revision_ || this->closed_.erase(zone) == 0) return changes;
  changes.opened.push_back(zone);
  return changes;
}

}  // namespace linenpier::fleet
