#include "gateway/service/gateway_settings.h"

// Criterion's macros clash with Boost's headers that come after it.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

using namespace linenpier;

namespace {

constexpr char kMinimalSettings[] =
    "[daemon]\nid = \"d\"\nzone = \"z-1\"\n[listen]\nrequests = \"127.0.0.1:1\"\n"
    "readiness = \"127.0.0.1:2\"\n[store]\naddress = \"127.0.0.1:3\"\n";

}  // namespace

Test(gateway_settings, zones_and_their_regions_are_read) {
  const std::string zones = "[zones]\n\"z-1\" = \"near\"\n\"z.2\" = \"far\"\n";
  const auto settings = gateway::parseGatewaySettings("f", zones + kMinimalSettings);
  cr_assert(settings.has_value());
  cr_assert_eq(settings->layout.regionOf(ZoneName("z-1")).str(), "near");
  cr_assert_eq(settings->layout.regionOf(ZoneName("z.2")).str(), "far");
  cr_assert(settings->layout.regionOf(ZoneName("z-3")).empty());
}

Test(gateway_settings, a_table_of_zones_may_be_empty_or_absent) {
  cr_assert(gateway::parseGatewaySettings("f", kMinimalSettings)->layout.zones().empty());
  const auto empty =
      gateway::parseGatewaySettings("f", std::string("[zones]\n\n") + kMinimalSettings);
  cr_assert(empty.has_value() && empty->layout.zones().empty());
}

Test(gateway_settings, a_region_that_is_not_a_string_is_reported) {
  const auto settings =
      gateway::parseGatewaySettings("f", std::string("[zones]\nz = 7\n") + kMinimalSettings);
  cr_assert_not(settings.has_value());
}
