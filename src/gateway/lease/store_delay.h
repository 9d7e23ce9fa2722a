#pragma once

/** @file
 * By how much the daemon's network delay to the store exceeds the tolerated delay, which lowers the
 * daemon's capacity. Does no I/O.
 */

#include <algorithm>

#include "common/time.h"
#include "gateway/lease/lease_times.h"

namespace linenpier::lease {

/** Limit of the excess delay. A longer delay is assumed to be caused by the store itself, which
 * affects all daemons and must not change their ranking.
 */
inline constexpr Duration kMaxExcessStoreDelay = std::chrono::milliseconds(40);

/** @param allowance see `lease_table::allowance`: a multiple of the excess delay of the reads.
 * @return by how much this daemon's reads exceed the tolerated delay, up to the limit.
 */
inline Duration excessStoreDelay(Duration allowance, const lease_times& times) {
  return std::min(allowance / times.allowance_factor, kMaxExcessStoreDelay);
}

}  // namespace linenpier::lease
