#include "gateway/service/settings_watcher.h"

#include <unistd.h>

#include <fstream>

// Criterion's macros clash with Boost's headers that come after it.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

using namespace linenpier;
using gateway::GatewaySettings;

namespace {

/// Tests run at the same time, each in a process of its own.
const std::string kFile = "/tmp/linenpier-settings-" + std::to_string(getpid()) + ".toml";
constexpr Duration kPeriod = std::chrono::milliseconds(20);
constexpr Duration kTimeout = std::chrono::milliseconds(200);

std::string settingsWith(const std::string& store) {
  return "[daemon]\nid = \"d\"\nzone = \"z\"\n[listen]\nrequests = \"127.0.0.1:1\"\n"
         "readiness = \"127.0.0.1:2\"\n[store]\naddress = \"" +
         store + "\"\n";
}

void write(const std::string& text) {
  std::ofstream file(kFile);
  file << text;
}

/// A watch of a file, with what it told.
struct Fixture {
  boost::asio::io_context loop{1};
  std::vector<GatewaySettings> told;
  gateway::settings_watcher watch;

  Fixture()
      : watch((write(settingsWith("127.0.0.1:3")), loop), kFile, kPeriod,
              [this](const GatewaySettings& settings) { told.push_back(settings); }) {}
};

}  // namespace

Test(settings_watcher, a_file_that_changes_without_a_signal_is_read_again) {
  Fixture fixture;
  fixture.watch.start();
  fixture.loop.run_for(kTimeout);
  cr_assert(fixture.told.empty(), "nothing has changed");
  write(settingsWith("127.0.0.1:4444"));
  fixture.loop.run_for(kTimeout);
  cr_assert_eq(fixture.told.size(), 1U);
  cr_assert_eq(fixture.told[0].store_address.port, 4444);
}

Test(settings_watcher, the_bound_of_cold_engines_is_read) {
  const std::string file = settingsWith("127.0.0.1:3");
  const auto without = gateway::parseGatewaySettings("f", file);
  cr_assert(without->cold == engines::cold_limit_options{}, "nothing is bounded");
  const auto with = gateway::parseGatewaySettings(
      "f", file + "[engines]\ncold_overshoot = 1.5\ncold_slack = 5\n");
  cr_assert(with->cold == (engines::cold_limit_options{1.5, 5}));
}

Test(settings_watcher, a_wrong_file_changes_nothing_and_is_read_once) {
  Fixture fixture;
  fixture.watch.start();
  write("[daemon]\nid = 7\n");
  fixture.loop.run_for(kTimeout);
  cr_assert(fixture.told.empty());
  cr_assert_eq(fixture.watch.rejectedReloads(), 1U);
  write(settingsWith("127.0.0.1:55555"));
  fixture.loop.run_for(kTimeout);
  cr_assert_eq(fixture.told.size(), 1U);
}

Test(settings_watcher, a_signal_reads_the_file_at_once) {
  Fixture fixture;
  write(settingsWith("127.0.0.1:4"));
  fixture.watch.reload();
  cr_assert_eq(fixture.told.size(), 1U);
}
