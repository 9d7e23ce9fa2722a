#pragma once

/** @file
 * What a daemon's way to the store adds to the delays that its capacity falls with. Pure.
 */

#include <algorithm>

#include "gateway/lease/lease_table.h"

namespace linenpier::lease {

/** Beyond this it is the store that is slow, for everybody alike: the ranks of owners must not
 * change then. A way around the globe and back takes several times as long.
 */
inline constexpr Duration kMaxStoreWay = std::chrono::milliseconds(40);

/** @param allowance of the lease table: what its reads took lately beyond what is usual, times the
 *     delays that it allows.
 * @return how much longer than usual a call to the store takes here.
 */
inline Duration storeDelay(Duration allowance, const LeaseTimes& times) {
  return std::min(allowance / times.delays_allowed, kMaxStoreWay);
}

}  // namespace linenpier::lease
