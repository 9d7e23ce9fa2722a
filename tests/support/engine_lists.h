#pragma once

/** @file
 * Passes a complete list of engines to a registry, as the feed does on each full read of the table.
 */

#include <set>
#include <vector>

#include "gateway/engines/engine_registry.h"

namespace linenpier::test {

/** @return the addresses of the engines that were removed. */
inline std::vector<Address> listEngines(engines::engine_registry& registry, Instant now,
                                        const std::vector<engines::engine_record>& records) {
  std::set<EngineId> present;
  for (const engines::engine_record& record : records) {
    present.insert(record.id);
    registry.onRecord(now, record);
  }
  return registry.removeMissing(now, present);
}

}  // namespace linenpier::test
