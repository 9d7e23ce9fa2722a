#pragma once

/** @file
 * When an engine started. An engine may start again under its id and then keeps nothing of before:
 * its id and its start together identify it.
 */

#include <cstdint>

namespace linenpier::engines {

/** Unix time in milliseconds, as the engine says; 0: unknown. */
using engine_start = std::int64_t;

/** @return whether both are known and `one` came first. */
inline bool startedBefore(engine_start one, engine_start other) {
  return one != 0 && other != 0 && one < other;
}

}  // namespace linenpier::engines
