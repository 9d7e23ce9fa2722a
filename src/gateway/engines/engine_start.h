#pragma once

/** @file
 * When an engine started. An engine may start again under its id, holding and knowing nothing of
 * before: its id and its start together are its identity.
 */

#include <cstdint>

namespace linenpier::engines {

/** Unix time in milliseconds, by the engine's own word; 0: not told. */
using EngineStart = std::int64_t;

/** @return whether both are told, and `one` came first. */
inline bool startedBefore(EngineStart one, EngineStart other) {
  return one != 0 && other != 0 && one < other;
}

}  // namespace linenpier::engines
