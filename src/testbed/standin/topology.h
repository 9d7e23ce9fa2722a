#pragma once

/// @file
/// What the stand-in plays: its settings file.

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "common/address.h"
#include "common/error.h"
#include "common/ids.h"

namespace linenpier::standin {

/// Engines of one model in one zone.
struct EnginePool {
  std::string name;
  ModelName model;
  ZoneName zone;
  std::uint32_t count = 1;
  std::uint32_t slots = 8;
  double token_ms = 10;  ///< Time for one token with an empty batch.
  double swap_ms = 150;  ///< Pause of a flip.
};

struct ListedDaemon {
  DaemonId id;
  ZoneName zone;
  RegionName region;
  Address control;  ///< The daemon's own socket.
  Address relay;    ///< Where the stand-in takes its datagrams, to be able to cut zones.
};

struct StoreLimits {
  double table_ms = 5;      ///< Time of one table call.
  double table_rate = 200;  ///< Table calls per second; more are refused.
  double object_ms = 3;
  double object_rate = 1000;
  double prefetch_ms = 300;   ///< Time to load one version from the weight store.
  double list_lag_ms = 1500;  ///< How far the machine list lags behind.
  double load_lag_ms = 300;   ///< How far engines' load reports lag behind.
};

struct Topology {
  Address listen;
  StoreLimits limits;
  std::vector<EnginePool> pools;
  std::vector<ListedDaemon> daemons;
};

/// @return the topology, or every finding with file and key.
tl::expected<Topology, Findings> readTopology(const std::string& file);

}  // namespace linenpier::standin
