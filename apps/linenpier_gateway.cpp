/// @file
/// linenpier-gateway: the gateway daemon for the users' platform.

#include <docopt/docopt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "common/event_log.h"
#include "common/random.h"
#include "gateway/service/gateway.h"
#include "gateway/service/process_signals.h"
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

int check(const std::string& file) {
  const auto settings = gateway::readGatewaySettings(file);
  if (settings) return 0;
  std::cerr << describe(settings.error()) << "\n";
  return kExitBadSettings;
}

int run(boost::asio::io_context& loop, gateway::process_signals& signals, const std::string& file) {
  std::function<void(const gateway::GatewaySettings&)> applySettings;
  // Notes the state of the file before it is read, so that no change is missed.
  gateway::settings_watcher settings_watcher(
      loop, file, kSettingsPollInterval,
      [&applySettings](const gateway::GatewaySettings& changed) { applySettings(changed); });
  const auto settings = gateway::readGatewaySettings(file);
  if (!settings) {
    std::cerr << describe(settings.error()) << "\n";
    return kExitBadSettings;
  }
  logging::startEventLog({settings->id.str(), settings->log_enabled, settings->log_as_text});
  http::ConnectionPool store_pool(loop, storeConnections());
  http::ConnectionPool engine_pool(loop, {});
  platform_adapter::Platform platform(store_pool, engine_pool, settings->store_address,
                                      settings->control_plane_address);
  metrics::GatewayMetrics metrics;
  platform.store().setObserver([&metrics](const char* call, const char* result, Duration took) {
    metrics.onStoreCall(call, result, took);
  });
  gateway::Gateway daemon(loop, *settings, platform, engine_pool, metrics,
                          Random::seedFromSystem());
  const Findings findings = daemon.start();
  if (!findings.empty()) {
    std::cerr << describe(findings) << "\n";
    return kExitCannotBind;
  }
  applySettings = [&](const gateway::GatewaySettings& changed) {
    platform.setAddresses(changed.store_address, changed.control_plane_address);
    daemon.applySettings(changed);
  };
  settings_watcher.start();
  signals.start([&daemon] { daemon.stop(); }, [&settings_watcher] { settings_watcher.reload(); });
  loop.run();
  logging::stopEventLog();
  // Exits without running destructors: suspended tasks still refer to the objects of this function.
  std::_Exit(0);
}

}  // namespace

int main(int argc, char** argv) {
  boost::asio::io_context loop(1);
  gateway::process_signals signals(loop);
  std::signal(SIGPIPE, SIG_IGN);
  auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true, "linenpier-gateway 0.1.0");
  const std::string file = settingsFile(arguments);
  return arguments["--check"].asBool() ? check(file) : run(loop, signals, file);
}
