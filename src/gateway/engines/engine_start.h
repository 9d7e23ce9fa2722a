#pragma once

/** @file
 * Start time of an engine. An engine may restart under its id without its former state, so that
 * only id and start time together identify it.
 */

#include <cstdint>

namespace linenpier::engines {

/** Unix time in milliseconds, as reported by the engine; 0: unknown. */
using engine_start = std::int64_t;

/** @return whether both are known and `one` came first. */
inline bool startedBefore(engine_start one, engine_start other) {
  return one != 0 && other != 0 && one < other;
}

}  // namespace linenpier::engines
