#pragma once

/** @file
 * Start time of an engine. An engine may restart under its id without its former state, so that
 * only id and start time together identify it.
 */

#include <cstdint>

namespace linenpier::engines {

/** Start time of an engine as reported by the engine: Unix time in milliseconds; 0: unknown. */
using engine_start = std::int64_t;

/** @return whether both start times are known and `one` is earlier. */
inline bool startedBefore(engine_start one, engine_start other) {
  return one != 0 && other != 0 && one < other;
}

}  // namespace linenpier::engines
