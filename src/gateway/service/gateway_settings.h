#pragma once

/// @file
/// Settings of the gateway: TOML under the product's own names.

#include <optional>
#include <string>
#include <vector>

#include "common/address.h"
#include "common/error.h"
#include "common/ids.h"
#include "common/time.h"
#include "gateway/batch/batch_service.h"
#include "gateway/engines/cold_engine_limiter.h"
#include "gateway/fleet/fleet_layout.h"
#include "gateway/lease/capacity_estimator.h"
#include "gateway/scaling/scaling_policy.h"
#include "gateway/usage/usage_service.h"
#include "gateway/versions/version_rollout.h"

namespace linenpier::gateway {

struct GatewaySettings {
  DaemonId id;
  ZoneName zone;
  fleet::fleet_layout layout;      ///< Which region each zone lies in.
  Address requests;                ///< Where clients connect.
  Address readiness;               ///< Where the platform asks whether this daemon is ready.
  std::optional<Address> metrics;  ///< Where metrics are told; absent: nowhere.
  std::optional<Address> peers;    ///< Where other daemons ask; absent: nowhere.
  std::vector<Address> seeds;      ///< Some daemons' addresses for that; may be stale.
  Address store;
  std::optional<Address> duties;  ///< Where duties at the platform are carried out; absent: none.
  usage::usage_options usage;
  scaling::scaling_options scaling;
  lease::machine_limits machine;
  std::size_t row_bytes = 65536;                  ///< Largest value of a row.
  Duration stop_limit = std::chrono::seconds(8);  ///< From the signal to the end.
  lease::handover_options handover;               ///< Of rights to order engines and of duties.
  versions::rollout_options rollout;
  batch::batch_options batch;
  engines::cold_limit_options cold;  ///< Of engines that started lately.
  /// Between two heartbeats of an engine, as the platform sets it.
  Duration engine_heartbeat = engines::record_expiry_options{}.heartbeat;
  bool log_enabled = true;
  bool log_text = false;
};

/// @return the settings, or every finding with file and key.
tl::expected<GatewaySettings, Findings> parseGatewaySettings(const std::string& file,
                                                             const std::string& text);

}  // namespace linenpier::gateway
