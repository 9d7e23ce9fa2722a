#pragma once

/** @file
 * Record of an engine in the platform's table of engines.
 */

#include <boost/container/flat_map.hpp>
#include <cstdint>
#include <optional>

#include "common/address.h"
#include "common/ids.h"
#include "common/time.h"
#include "gateway/engines/engine_start.h"

namespace linenpier::engines {

/** Heartbeat interval of an engine unless the platform's settings override it. */
inline constexpr Duration kDefaultEngineHeartbeat = std::chrono::milliseconds(1200);

/** Weight version by model. A flat map saves memory: thousands of engines hold a few models each.
 */
using model_versions = boost::container::flat_map<ModelName, WeightVersion>;

/** Record of an engine. An engine that restarts keeps its id, but has a new start time and none of
 * its former state.
 */
struct engine_record {
  EngineId id;
  engine_start start = 0;
  ServiceName service;
  Address address;
  ZoneName zone;
  std::uint32_t slots = 1;  ///< Number of requests that the engine runs concurrently.
  bool draining = false;    ///< Whether the engine accepts no new requests.
  bool spot = false;  ///< Whether the engine is a spot instance, which the platform may reclaim.
  std::optional<Duration> reclaim_in;  ///< Time from this record until the engine is reclaimed.
  Duration cold_remaining{};           ///< Time from this record until the engine is warm.
  model_versions models;  ///< Weights that the engine holds; may lag behind its responses.
};

}  // namespace linenpier::engines
