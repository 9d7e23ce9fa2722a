#pragma once

/** @file
 * The bounds that a service's configuration sets for the number of its engines, and their prices.
 * Values.
 */

#include <compare>
#include <cstddef>
#include <map>

#include "common/ids.h"
#include "common/time.h"

namespace linenpier::fleet {

/** How an engine is paid for. */
enum class EngineKind {
  kOnDemand,
  kSpot,  ///< Cheaper; the platform may take it away, all of a zone at once.
};

const char* toText(EngineKind kind);

/** The engines of one kind in a zone. */
struct engine_group {
  ZoneName zone;
  EngineKind kind = EngineKind::kOnDemand;

  auto operator<=>(const engine_group&) const = default;
};

using group_counts = std::map<engine_group, std::size_t>;

struct scaling_bounds {
  std::size_t min_engines = 0;             ///< In a zone, both kinds together.
  std::size_t max_engines = 0;             ///< In a zone, both kinds together.
  Duration boot_time{};                    ///< From the order for an engine until it serves.
  double spot_price = 1;                   ///< Of a spot engine, where an on-demand one costs 1.
  std::map<ZoneName, double> zone_prices;  ///< Factor of the price; 1 where a zone is not named.

  double priceOf(const engine_group& group) const {
    const auto at = this->zone_prices.find(group.zone);
    const double price = at == this->zone_prices.end() ? 1 : at->second;
    return group.kind == EngineKind::kSpot ? price * this->spot_price : price;
  }
  bool operator==(const scaling_bounds&) const = default;
};

}  // namespace linenpier::fleet
