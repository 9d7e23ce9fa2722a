#pragma once

/** @file
 * Region of each zone of the fleet, from the settings.
 */

#include <map>

#include "common/ids.h"

namespace linenpier::fleet {

class fleet_layout {
 public:
  fleet_layout() = default;
  explicit fleet_layout(std::map<ZoneName, RegionName> regions) : regions_(std::move(regions)) {}

  /** @return the region of the zone; empty if the zone is unknown. */
  RegionName regionOf(const ZoneName& zone) const {
    const auto at = this->regions_.find(zone);
    return at == this->regions_.end() ? RegionName() : at->second;
  }
  const std::map<ZoneName, RegionName>& zones() const { return this->regions_; }

  bool operator==(const fleet_layout&) const = default;

 private:
  std::map<ZoneName, RegionName> regions_;
};

}  // namespace linenpier::fleet
