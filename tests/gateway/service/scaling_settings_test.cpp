/// @file
/// Whether a number of engines is ordered, as the settings say.

#include "gateway/service/gateway_settings.h"

// Criterion's macros clash with Boost's headers that come after it.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

using namespace linenpier;
using scaling::ScalingMode;

namespace {

/// @return how engines are counted under these settings of duties.
ScalingMode modeOf(const std::string& duties) {
  const std::string text =
      "[daemon]\nid = \"d\"\nzone = \"z\"\n[listen]\nrequests = \"127.0.0.1:1\"\n"
      "readiness = \"127.0.0.1:2\"\n[store]\naddress = \"127.0.0.1:3\"\n[duties]\n" +
      duties;
  const auto settings = gateway::parseGatewaySettings("file", text);
  cr_assert(settings.has_value());
  return settings->scaling.mode;
}

}  // namespace

Test(scaling_settings, engines_are_counted_where_the_platform_has_the_duty) {
  const std::string address = "address = \"127.0.0.1:4\"\n";
  const std::string replace = "scaling = \"replace\"\n";
  const std::string both = "names = \"usage_report, autoscale\"\n";
  cr_assert(modeOf(address + both + replace) == ScalingMode::kReplace);
  cr_assert(modeOf(address + both + "scaling = \"demand\"\n") == ScalingMode::kDemand);
  cr_assert(modeOf(address + both) == ScalingMode::kFixed);
  cr_assert(modeOf(address + replace) == ScalingMode::kFixed);
  cr_assert(modeOf(address + "names = \"usage_report\"\n" + replace) == ScalingMode::kFixed);
  cr_assert(modeOf(both + replace) == ScalingMode::kFixed, "there is nobody to ask");
}
