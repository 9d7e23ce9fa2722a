#pragma once

/** @file
 * The daemon's network delay to the store, which lowers its capacity. Does no I/O.
 */

#include <algorithm>

#include "common/time.h"
#include "gateway/lease/lease_times.h"

namespace linenpier::lease {

/** Longer delays are caused by the store itself and affect all daemons, so they must not change the
 * ranking.
 */
inline constexpr Duration kMaxExcessStoreDelay = std::chrono::milliseconds(40);

/** @param allowance of the lease table: a multiple of the excess delay of its reads.
 * @return by how much this daemon's reads of the store exceed the tolerated delay.
 */
inline Duration excessStoreDelay(Duration allowance, const lease_times& times) {
  return std::min(allowance / times.allowance_factor, kMaxExcessStoreDelay);
}

}  // namespace linenpier::lease
