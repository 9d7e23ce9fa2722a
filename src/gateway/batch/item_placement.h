#pragma once

/** @file
 * Selects the engine that runs an item. Pure: reads the engine registry, but sends nothing.
 */

#include "gateway/batch/batch_run.h"
#include "gateway/engines/engine_registry.h"

namespace linenpier::batch {

/** @return the engine memory that the item is expected to use, in tokens. Less than its maximum. */
double expectedTokens(const batch_item& item);

/** @return the requirements of an item on an engine.
 * @param max_per_slot upper limit of requests per slot, counting all daemons.
 */
engines::engine_request engineRequirementsFor(const batch_run& run, ItemIndex item,
                                              const routing::Route& route,
                                              const routing::RouteTable& table,
                                              double max_per_slot);

struct item_placement {
  const engines::engine_state* engine = nullptr;  ///< Null: no engine admits the item.
  /// No engine can resume the text: the item must be started again.
  bool discard_text = false;
};

/** Selects an engine for a waiting item. The engine on which the item failed last is selected only
 * if there is no other.
 */
item_placement placeItem(Instant now, engines::engine_registry& registry,
                         const item_progress& progress, engines::engine_request wanted);

}  // namespace linenpier::batch
