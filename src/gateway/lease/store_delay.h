#pragma once

/** @file
 * How far a daemon is from the store, as a delay that lowers its capacity. Pure.
 */

#include <algorithm>

#include "common/time.h"
#include "gateway/lease/lease_times.h"

namespace linenpier::lease {

/** A longer delay is the store's own, alike for all daemons, and must not change how they rank. */
inline constexpr Duration kMaxStoreDelay = std::chrono::milliseconds(40);

/** @param allowance of the lease table: a multiple of the excess delay of its reads.
 * @return how much longer than tolerated a read of the store takes at this daemon.
 */
inline Duration storeDelay(Duration allowance, const lease_times& times) {
  return std::min(allowance / times.allowance_factor, kMaxStoreDelay);
}

}  // namespace linenpier::lease
