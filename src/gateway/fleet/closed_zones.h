#pragma once

/** @file
 * Zones that the operator has closed. Their engines get no requests until the zone is opened again.
 */

#include <map>

#include "common/ids.h"

namespace linenpier::fleet {

class closed_zones {
 public:
  closed_zones() = default;
  /** @param zones closed zones, each with the revision at which the operator closed it. */
  explicit closed_zones(std::map<ZoneName, Revision> zones) : zones_(std::move(zones)) {}

  bool contains(const ZoneName& zone) const { return this->zones_.contains(zone); }
  bool empty() const { return this->zones_.empty(); }
  const std::map<ZoneName, Revision>& all() const { return this->zones_; }

  bool operator==(const closed_zones&) const = default;

 private:
  std::map<ZoneName, Revision> zones_;
};

}  // namespace linenpier::fleet
