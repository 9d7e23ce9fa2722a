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

/** An engine that restarts keeps its id, but has a new start time and none of its former state.
 */
struct engine_record {
  EngineId id;
  engine_start start = 0;
  ServiceName service;
  Address address;
  ZoneName zone;
  std::uint32_t slots = 1;             ///< Requests that it runs concurrently.
  bool draining = false;               ///< Finishes its requests and accepts no new ones.
  bool spot = false;                   ///< A spot instance, which the platform may reclaim.
  std::optional<Duration> reclaim_in;  ///< Time until the platform reclaims it, as of this record.
  Duration cold_remaining{};           ///< Remaining time until it is warm, as of this record.
  model_versions models;               ///< Weights that it holds; lags behind its responses.
};

}  // namespace linenpier::engines
