/// @file
/// Tests of how the scaling mode is derived from the settings.

#include "gateway/service/gateway_settings.h"

// Criterion's macros clash with Boost's headers that come after it.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

using namespace linenpier;
using scaling::ScalingMode;

namespace {

/// @return the scaling mode for the given contents of the [duties] table.
ScalingMode parseScalingMode(const std::string& duties) {
  const std::string text =
      "[daemon]\nid = \"d\"\nzone = \"z\"\n[listen]\nrequests = \"127.0.0.1:1\"\n"
      "readiness = \"127.0.0.1:2\"\n[store]\naddress = \"127.0.0.1:3\"\n[duties]\n" +
      duties;
  const auto settings = gateway::parseGatewaySettings("file", text);
  cr_assert(settings.has_value());
  return settings->scaling.mode;
}

}  // namespace

Test(scaling_settings, scaling_is_enabled_if_the_platform_supports_it) {
  const std::string address = "address = \"127.0.0.1:4\"\n";
  const std::string replace = "scaling = \"replace\"\n";
  const std::string both = "names = \"usage_report, autoscale\"\n";
  cr_assert(parseScalingMode(address + both + replace) == ScalingMode::kReplace);
  cr_assert(parseScalingMode(address + both + "scaling = \"demand\"\n") == ScalingMode::kDemand);
  cr_assert(parseScalingMode(address + both) == ScalingMode::kFixed);
  cr_assert(parseScalingMode(address + replace) == ScalingMode::kFixed);
  cr_assert(parseScalingMode(address + "names = \"usage_report\"\n" + replace) ==
            ScalingMode::kFixed);
  cr_assert(parseScalingMode(both + replace) == ScalingMode::kFixed,
            "no service address is configured");
}
