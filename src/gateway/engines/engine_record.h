#pragma once

/** @file
 * An engine as the platform's table of engines describes it. A value.
 */

#include <boost/container/flat_map.hpp>
#include <cstdint>
#include <optional>

#include "common/address.h"
#include "common/ids.h"
#include "common/time.h"
#include "gateway/engines/engine_start.h"

namespace linenpier::engines {

/** Between two heartbeats of an engine, until the platform's settings say otherwise. */
inline constexpr Duration kDefaultEngineHeartbeat = std::chrono::milliseconds(1200);

/** Weights by model. Flat, since a service may have ten thousand engines with a few models each. */
using model_versions = boost::container::flat_map<ModelName, WeightVersion>;

/** The id and the start together identify an engine: what is known of an engine holds for one start
 * only.
 */
struct engine_record {
  EngineId id;
  engine_start start = 0;
  ServiceName service;
  Address address;
  ZoneName zone;
  std::uint32_t slots = 1;             ///< Requests that it runs at the same time.
  bool draining = false;               ///< It finishes what it runs and takes nothing new.
  bool spot = false;                   ///< The platform may reclaim it.
  std::optional<Duration> reclaim_in;  ///< Until the platform reclaims it, from this record on.
  Duration cold_remaining{};           ///< It is still cold for this long, from this record on.
  model_versions models;               ///< Weights that it holds; lags behind the engine's answers.
};

}  // namespace linenpier::engines
