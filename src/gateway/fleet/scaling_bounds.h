#pragma once

/** @file
 * Limits and prices for the automatic scaling of a service, from its configuration.
 */

#include <compare>
#include <cstddef>
#include <map>

#include "common/ids.h"
#include "common/time.h"

namespace linenpier::fleet {

/** How an engine is paid for. */
enum class PurchaseOption {
  kOnDemand,
  kSpot,  ///< Cheaper engines that the platform may reclaim, possibly all of a zone at once.
};

const char* toText(PurchaseOption purchase);

struct engine_group {
  ZoneName zone;
  PurchaseOption purchase = PurchaseOption::kOnDemand;

  auto operator<=>(const engine_group&) const = default;
};

using group_counts = std::map<engine_group, std::size_t>;

struct scaling_bounds {
  std::size_t min_engines = 0;  ///< Minimum engines in a zone, both purchase options together.
  std::size_t max_engines = 0;  ///< Maximum engines in a zone, both purchase options together.
  Duration boot_time{};         ///< Time from the order of an engine until the engine is ready.
  double spot_price = 1;        ///< Price of a spot engine relative to an on-demand engine.
  std::map<ZoneName, double> zone_prices;  ///< Price factor by zone; 1 by default.

  double priceOf(const engine_group& group) const {
    const auto at = this->zone_prices.find(group.zone);
    const double price = at == this->zone_prices.end() ? 1 : at->second;
    return group.purchase == PurchaseOption::kSpot ? price * this->spot_price : price;
  }
  bool operator==(const scaling_bounds&) const = default;
};

}  // namespace linenpier::fleet
