#pragma once

/** @file
 * Gives a registry a complete list of engines, as the feed of the platform's table does at each
 * read of it.
 */

#include <set>
#include <vector>

#include "gateway/engines/engine_registry.h"

namespace linenpier::test {

/** @return the addresses of the engines that are known no longer. */
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
