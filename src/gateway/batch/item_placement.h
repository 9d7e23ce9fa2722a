#pragma once

/** @file
 * Selects the engine that runs an item. Pure: reads the engine registry, but sends nothing.
 */

#include "gateway/batch/batch_run.h"
#include "gateway/engines/engine_registry.h"

namespace linenpier::batch {

/** @return the engine memory that the item is expected to use, in tokens; at most the item's
 *     maximum, `batch_item::tokens`.
 */
double expectedTokens(const batch_item& item);

/** @return what the item requires of the engine of a service that runs it; without its residency.
 * @param max_per_slot maximum number of requests per slot of the engine, including those of other
 *     daemons.
 */
engines::engine_request engineRequirementsFor(const batch_run& run, ItemIndex item,
                                              const routing::Route& route,
                                              const ServiceName& service,
                                              const routing::Configuration& table,
                                              double max_per_slot);

/** @return an engine of the first service that admits the item; null if none does.
 * @param wanted the item's requirements in each service, in the order to try them.
 */
const engines::engine_state* pickFrom(Instant now, engines::engine_registry& registry,
                                      const std::vector<engines::engine_request>& wanted);

struct item_placement {
  const engines::engine_state* engine = nullptr;  ///< Null if no engine admits the item.
  /// Whether the item must be started again, because no engine can resume its text.
  bool discard_text = false;
};

/** Selects an engine for a waiting item. The engine on which the item failed last is selected only
 * if there is no other.
 * @param wanted the item's requirements in each service of its route, in the order to try them.
 */
item_placement placeItem(Instant now, engines::engine_registry& registry,
                         const item_progress& progress,
                         std::vector<engines::engine_request> wanted);

}  // namespace linenpier::batch
