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

/// Tests run concurrently, each in its own process.
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

/// A watcher with the settings that it reported.
struct Fixture {
  boost::asio::io_context loop{1};
  std::vector<GatewaySettings> reported;
  gateway::settings_watcher watcher;

  Fixture()
      : watcher((write(settingsWith("127.0.0.1:3")), loop), kFile, kPeriod,
                [this](const GatewaySettings& settings) { reported.push_back(settings); }) {}
};

}  // namespace

Test(settings_watcher, a_changed_file_is_read_without_a_signal) {
  Fixture fixture;
  fixture.watcher.start();
  fixture.loop.run_for(kTimeout);
  cr_assert(fixture.reported.empty(), "reported settings without a change");
  write(settingsWith("127.0.0.1:4444"));
  fixture.loop.run_for(kTimeout);
  cr_assert_eq(fixture.reported.size(), 1U);
  cr_assert_eq(fixture.reported[0].store_address.port, 4444);
}

Test(settings_watcher, the_limit_for_cold_engines_is_read) {
  const std::string file = settingsWith("127.0.0.1:3");
  const auto without = gateway::parseGatewaySettings("f", file);
  cr_assert(without->cold == engines::cold_limit_options{}, "there must be no limit by default");
  const auto with = gateway::parseGatewaySettings(
      "f", file + "[engines]\ncold_overshoot = 1.5\ncold_slack = 5\n");
  cr_assert(with->cold == (engines::cold_limit_options{1.5, 5}));
}

Test(settings_watcher, an_invalid_file_is_ignored_and_read_once) {
  Fixture fixture;
  fixture.watcher.start();
  write("[daemon]\nid = 7\n");
  fixture.loop.run_for(kTimeout);
  cr_assert(fixture.reported.empty());
  cr_assert_eq(fixture.watcher.rejectedReloads(), 1U);
  write(settingsWith("127.0.0.1:55555"));
  fixture.loop.run_for(kTimeout);
  cr_assert_eq(fixture.reported.size(), 1U);
}

Test(settings_watcher, a_signal_reads_the_file_at_once) {
  Fixture fixture;
  write(settingsWith("127.0.0.1:4"));
  fixture.watcher.reload();
  cr_assert_eq(fixture.reported.size(), 1U);
}
