#pragma once

/// @file
/// Settings of the gateway, read from a TOML file.

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
  fleet::fleet_layout layout;  ///< Region of each zone.
  Address request_address;     ///< Address to listen on for client requests.
  Address readiness_address;   ///< Address to listen on for readiness probes.
  /// Address to listen on for metrics scrapes; no listener if empty.
  std::optional<Address> metrics_address;
  /// Address to listen on for calls from other gateways; no listener if empty.
  std::optional<Address> peer_address;
  std::vector<Address> seed_peers;  ///< Initial peer addresses; may be out of date.
  Address store_address;
  /// Address of the platform service that takes usage reports and scaling orders; empty if there is
  /// no such service.
  std::optional<Address> control_plane_address;
  usage::usage_options usage;
  scaling::scaling_options scaling;
  lease::machine_limits machine;
  /// Memory of the machine; absent: unknown, then request bodies are not limited by it.
  std::optional<std::size_t> memory_bytes;
  /// Maximum size of the value of a store row.
  std::size_t max_row_bytes = 65536;
  /// Maximum time from the stop signal to process exit.
  Duration shutdown_timeout = std::chrono::seconds(8);
  lease::handover_options handover;  ///< Options for the handover of leader locks between gateways.
  versions::rollout_options rollout;
  batch::batch_options batch;
  engines::cold_limit_options cold;  ///< Load limits for recently started engines.
  /// Interval between engine heartbeats, as configured on the platform.
  Duration engine_heartbeat = engines::record_expiry_options{}.heartbeat;
  bool log_enabled = true;
  bool log_as_text = false;
};

/// @return the settings, or all errors found, each with its file and key.
tl::expected<GatewaySettings, Findings> parseGatewaySettings(const std::string& file,
                                                             const std::string& text);

}  // namespace linenpier::gateway
