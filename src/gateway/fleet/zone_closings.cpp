#include "gateway/fleet/zone_closings.h"

namespace linenpier::fleet {

zone_changes zone_closings::onTable(Instant now, Revision revision,
                                    const std::map<ZoneName, Revision>& closed) {
  zone_changes changes;
  if (revision < this->revision_) return changes;
  for (const auto& [zone, since] : this->closed_) {
    if (!closed.contains(zone)) changes.opened.push_back(zone);
  }
  for (const auto& [zone, since] : closed) {
    if (!this->closed_.contains(zone)) changes.closed.push_back(zone);
  }
  for (const ZoneName& zone : changes.opened) this->closed_at_.erase(zone);
  for (const ZoneName& zone : changes.closed) this->closed_at_[zone] = now;
  this->closed_ = closed;
  this->revision_ = revision;
  return changes;
}

zone_changes zone_closings::onClosed(Instant now, const ZoneName& zone, Revision revision) {
  zone_changes changes;
  if (revision <= this->revision_) return changes;
  if (!this->closed_.contains(zone)) {
    changes.closed.push_back(zone);
    this->closed_at_[zone] = now;
  }
  this->closed_[zone] = revision;
  return changes;
}

zone_changes zone_closings::onOpened(const ZoneName& zone, Revision revision) {
  zone_changes changes;
  if (revision <= this->revision_ || this->closed_.erase(zone) == 0) return changes;
  changes.opened.push_back(zone);
  this->closed_at_.erase(zone);
  return changes;
}

Instant zone_closings::closedAt(const ZoneName& zone) const {
  const auto at = this->closed_at_.find(zone);
  return at == this->closed_at_.end() ? Instant{} : at->second;
}

}  // namespace linenpier::fleet
