/// @file
/// linenpier-gateway: the gateway daemon for the users' platform.

#include <docopt/docopt.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "common/event_log.h"
#include "common/random.h"
#include "gateway/service/gateway.h"
#include "gateway/service/settings_watcher.h"
#include "platform.h"

namespace {

using namespace linenpier;

constexpr char kUsage[] =
    R"(linenpier-gateway: serves requests and batch jobs on the users' platform.

Usage:
  linenpier-gateway [--settings FILE] [--check]
  linenpier-gateway --help

Options:
  --settings FILE  Settings file (TOML); if absent, the file named by LINENPIER_SETTINGS.
  --check          Check the settings and exit.

Exit codes: 0 clean shutdown or valid settings, 2 invalid settings, 3 an address could not be bound.
)";

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotBind = 3;
constexpr Duration kSettingsPollInterval = std::chrono::milliseconds(1500);

std::string settingsFile(std::map<std::string, docopt::value>& arguments) {
  if (arguments["--settings"]) return arguments["--settings"].asString();
  const char* path = std::getenv("LINENPIER_SETTINGS");
  return path == nullptr ? std::string() : std::string(path);
}

/// The store is trusted and sends large pages, several at a time when jobs are taken over.
http::ConnectionPoolOptions storeConnections() {
  http::ConnectionPoolOptions options;
  options.responses.max_body_bytes = 32 * 1024 * 1024;
  options.responses.max_total_bytes = 48 * 1024 * 1024;
  options.responses.uncounted_body_bytes = 2 * 1024 * 1024;
  return options;
}

int run(const std::string& file, const gateway::GatewaySettings& settings) {
  logging::startEventLog({settings.id.str(), settings.log_enabled, settings.log_as_text});
  boost::asio::io_context loop(1);
  http::ConnectionPool store_pool(loop, storeConnections());
  http::ConnectionPool engine_pool(loop, {});
  platform_adapter::Platform platform(store_pool, engine_pool, settings.store_address,
                                      settings.control_plane_address);
  metrics::GatewayMetrics metrics;
  platform.store().setObserver([&metrics](const char* call, const char* result, Duration took) {
    metrics.onStoreCall(call, result, took);
  });
  gateway::Gateway daemon(loop, settings, platform, engine_pool, metrics, Random::seedFromSystem());
  const Findings findings = daemon.start();
  if (!findings.empty()) {
    std::cerr << describe(findings) << "\n";
    return kExitCannotBind;
  }
  boost::asio::signal_set stop_signals(loop, SIGTERM, SIGINT);
  stop_signals.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) daemon.stop();
  });
  gateway::settings_watcher settings_watcher(
      loop, file, kSettingsPollInterval, [&](const gateway::GatewaySettings& changed) {
        platform.setAddresses(changed.store_address, changed.control_plane_address);
        daemon.applySettings(changed);
      });
  settings_watcher.start();
  boost::asio::signal_set reload_signal(loop, SIGHUP);
  std::function<void()> awaitReload = [&] {
    reload_signal.async_wait([&](const boost::system::error_code& error, int) {
      if (error) return;
      settings_watcher.reload();
      awaitReload();
    });
  };
  awaitReload();
  loop.run();
  logging::stopEventLog();
  // Exits without running destructors: suspended tasks still refer to the objects of this function.
  std::_Exit(0);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true, "linenpier-gateway 0.1.0");
  const std::string file = settingsFile(arguments);
  const auto settings = gateway::readGatewaySettings(file);
  if (!settings) {
    std::cerr << describe(settings.error()) << "\n";
    return kExitBadSettings;
  }
  if (arguments["--check"].asBool()) return 0;
  return run(file, *settings);
}
