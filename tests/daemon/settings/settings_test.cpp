#include "daemon/settings/settings.h"

#include <criterion/criterion.h>

using namespace linenpier;

namespace {

constexpr char kRight[] = R"([daemon]
id = "d-1"
zone = "z"
region = "r"
http = "127.0.0.1:7100"
control = "127.0.0.1:7200"
[platform]
address = "127.0.0.1:7400"
[secrets]
fleet = "sixteen characters"
operator = "operator"
)";

bool mentions(const Findings& findings, const std::string& place) {
  for (const Finding& finding : findings) {
    if (finding.place.find(place) != std::string::npos) return true;
  }
  return false;
}

}  // namespace

Test(settings, a_right_file_is_read_and_flags_go_before_it) {
  const auto settings = settings::parseDaemonSettings("f", kRight, {{"daemon.zone", "y"}});
  cr_assert(settings.has_value());
  cr_assert(settings->zone == ZoneName("y"));
  cr_assert(toString(settings->advertise) == "127.0.0.1:7200");
}

Test(settings, all_findings_come_together_with_line_and_key) {
  const auto settings = settings::parseDaemonSettings("f.toml", R"([daemon]
id = 5
zone = "z"
http = "localhost:7100"
control = "127.0.0.1:99999"
[secrets]
fleet = "short"
operator = "o"
[limits]
max_streams = 1
surprise = true
[routing]
policy = "best"
)",
                                                      {});
  cr_assert_not(settings.has_value());
  for (const char* place :
       {"f.toml:2: daemon.id", "daemon.region", "f.toml:4: daemon.http", "f.toml:5: daemon.control",
        "platform.address", "f.toml:7: secrets.fleet", "f.toml:10: limits.max_streams",
        "f.toml:11: limits.surprise", "f.toml:13: routing.policy"}) {
    cr_assert(mentions(settings.error(), place), "%s in\n%s", place,
              describe(settings.error()).c_str());
  }
}

Test(settings, text_that_is_not_toml_is_told_with_its_line) {
  const auto settings = settings::parseDaemonSettings("f", "[daemon\n", {});
  cr_assert(mentions(settings.error(), "f:1"));
}
