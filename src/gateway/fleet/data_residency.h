#pragma once

/** @file
 * Regions in which a request and its data may be served, cached and stored.
 */

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>

#include "common/ids.h"

namespace linenpier::fleet {

class data_residency {
 public:
  /** Constructs a residency without a restriction. */
  data_residency() = default;
  /** Constructs a residency that allows only these regions; an empty set allows no region. */
  explicit data_residency(std::set<RegionName> regions) : regions_(std::move(regions)) {}

  bool isRestricted() const { return this->regions_.has_value(); }
  /** @param region region to check. An empty name is an unknown region, allowed only without a
   * restriction. */
  bool allows(const RegionName& region) const {
    return !this->regions_ || this->regions_->contains(region);
  }
  /** @return the allowed regions; empty without a restriction. */
  std::set<RegionName> regions() const { return this->regions_.value_or(std::set<RegionName>{}); }

  /** @return the regions that both residencies allow, such as the residency of a route and that of
   * its caller.
   */
  data_residency intersect(const data_residency& other) const {
    if (!this->isRestricted()) return other;
    if (!other.isRestricted()) return *this;
    std::set<RegionName> common;
    std::set_intersection(this->regions_->begin(), this->regions_->end(), other.regions_->begin(),
                          other.regions_->end(), std::inserter(common, common.end()));
    return data_residency(std::move(common));
  }

  bool operator==(const data_residency&) const = default;

 private:
  std::optional<std::set<RegionName>> regions_;
};

}  // namespace linenpier::fleet
