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
  /** No restriction. */
  data_residency() = default;
  /** Restricts to these regions; an empty set allows none. */
  explicit data_residency(std::set<RegionName> regions) : regions_(std::move(regions)) {}

  bool isRestricted() const { return this->regions_.has_value(); }
  /** @param region empty: unknown, allowed only without a restriction. */
  bool allows(const RegionName& region) const {
    return !this->regions_ || this->regions_->contains(region);
  }
  /** @return the allowed regions; empty without a restriction. */
  std::set<RegionName> regions() const { return this->regions_.value_or(std::set<RegionName>{}); }

  /** @return the regions that both allow, such as the residency of a route and that of its caller.
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
