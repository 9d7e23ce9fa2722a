#pragma once

/** @file
 * Which engine runs an item. Pure: asks the registry, sends nothing.
 */

#include "gateway/batch/batch_run.h"
#include "gateway/engines/engine_registry.h"

namespace linenpier::batch {

/** @return the memory that an item is expected to fill, in tokens: less than the most that it may.
 */
double expectedTokens(const batch_item& item);

/** What an item asks of an engine.
 * @param max_per_slot requests a slot that an engine may have, counting others'.
 */
engines::engine_request engineRequestFor(const batch_run& run, ItemIndex item,
                                         const routing::Route& route,
                                         const routing::RouteTable& table, double max_per_slot);

struct item_placement {
  const engines::engine_state* engine = nullptr;  ///< None admits the item if it is not set.
  /// No engine can go on with the text so far: the item is begun anew.
  bool discard_text = false;
};

/** Chooses an engine for an item that waits. One that failed it is taken only if there is no other.
 */
item_placement placeItem(Instant now, engines::engine_registry& registry,
                         const item_progress& progress, engines::engine_request wanted);

}  // namespace linenpier::batch
