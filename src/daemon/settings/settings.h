#pragma once

/// @file
/// A daemon's settings: a TOML file, overridden by flags, checked as a whole.

#include <string>
#include <tl/expected.hpp>

#include "common/address.h"
#include "common/error.h"
#include "common/ids.h"
#include "common/time.h"
#include "common/toml_reader.h"

namespace linenpier::settings {

/// Everything that a daemon must be told; the rest comes from the platform.
struct DaemonSettings {
  DaemonId id;
  ZoneName zone;
  RegionName region;
  Address http;              ///< Callers and operators.
  Address control;           ///< Other daemons, by datagram.
  Address advertise;         ///< Where other daemons send to; `control` unless a relay is between.
  Address platform;          ///< The platform's services.
  std::string secret;        ///< Authenticates frames between daemons.
  std::string operator_key;  ///< Bearer key of operators.
  std::string log_level = "info";
  std::string routing_policy = "corrected-load";
  std::uint32_t max_streams = 512;                  ///< HTTP connections served at once.
  std::uint32_t max_body_kib = 1024;                ///< Largest request body.
  Duration drain_limit = std::chrono::seconds(30);  ///< A planned stop waits this long at most.
};

/// Parses and checks settings as a whole.
/// @param file name for findings.
/// @param text TOML text; may be empty if the overrides say everything.
/// @return the settings, or every finding with file, line and key.
tl::expected<DaemonSettings, Findings> parseDaemonSettings(const std::string& file,
                                                           const std::string& text,
                                                           const Overrides& overrides);

}  // namespace linenpier::settings
