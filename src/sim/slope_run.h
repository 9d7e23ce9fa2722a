#pragma once

/// @file
/// One measurement of a hollow fleet: what daemons cost, and how fast they act together.

#include <string>

#include "sim/hollow_fleet.h"

namespace linenpier::sim {

struct SlopeResult {
  FleetOptions options;
  double cpu_share = 0;             ///< Of a core, per daemon.
  double memory_mb = 0;             ///< Resident growth per daemon.
  double bytes_per_s = 0;           ///< Sent and received, per daemon.
  double datagrams_per_s = 0;       ///< Sent, per daemon.
  double table_reads_per_s = 0;     ///< Of the whole fleet.
  double table_writes_per_s = 0;    ///< Of the whole fleet, once settled.
  double settle_s = 0;              ///< From the start until all see all and every engine is owned.
  double config_spread_s = 0;       ///< From acceptance to the last daemon in force.
  double config_spread_down_s = 0;  ///< The same, the table going down right after acceptance.
  double weights_s = 0;             ///< From publishing to the last engine of a model.
  double takeover_s = 0;    ///< From the kill of a daemon until its engines are owned again.
  double fifth_lost_s = 0;  ///< Until all see the loss of a fifth of the daemons.
  std::map<std::string, double> bytes_by_message;  ///< Per daemon and second, sent.
};

/// Runs the whole measurement. Times that were not reached within their limit are negative.
SlopeResult measureSlope(const FleetOptions& options);
std::string toJson(const SlopeResult& result);
std::string toTable(const SlopeResult& result);

}  // namespace linenpier::sim
