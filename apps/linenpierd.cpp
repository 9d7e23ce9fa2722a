/// @file
/// linenpierd: the daemon for the product's own platform; linenpier-gateway is its counterpart for
/// the users' platform.

#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

#include "common/log.h"
#include "common/read_file.h"
#include "daemon/api/http_server.h"
#include "daemon/clients/http_engine_client.h"
#include "daemon/clients/http_object_store_client.h"
#include "daemon/clients/http_table_client.h"
#include "daemon/process/daemon.h"

namespace {

using namespace linenpier;

constexpr char kUsage[] = R"(linenpierd: routes rollout and serving requests to model engines.

Usage:
  linenpierd --settings FILE [--set KEY=VALUE]... [--check]
  linenpierd --help

Options:
  --settings FILE  Settings file (TOML).
  --set KEY=VALUE  Override one setting, such as daemon.zone=hall-patan.
  --check          Check the settings and exit.

Exit codes: 0 clean shutdown or valid settings, 2 invalid settings, 3 an address could not be bound.
)";

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotBind = 3;
constexpr auto kPollInterval = std::chrono::milliseconds(200);
/// Time for other daemons to learn of the shutdown; the daemon exits no sooner, even if its last
/// open request has ended.
constexpr auto kDeregistrationDelay = std::chrono::milliseconds(500);

volatile std::sig_atomic_t stop_signal = 0;

tl::expected<settings::Overrides, Findings> readOverrides(const std::vector<std::string>& flags) {
  settings::Overrides overrides;
  Findings findings;
  for (const std::string& flag : flags) {
    const auto equals = flag.find('=');
    if (equals == std::string::npos) {
      findings.push_back({"--set " + flag, "must be KEY=VALUE"});
      continue;
    }
    overrides[flag.substr(0, equals)] = flag.substr(equals + 1);
  }
  if (!findings.empty()) return tl::make_unexpected(findings);
  return overrides;
}

tl::expected<settings::DaemonSettings, Findings> readDaemonSettings(
    std::map<std::string, docopt::value>& arguments) {
  const auto overrides = readOverrides(arguments["--set"].asStringList());
  if (!overrides) return tl::make_unexpected(overrides.error());
  const std::string file = arguments["--settings"].asString();
  const auto text = settings::readFile(file);
  if (!text) return tl::make_unexpected(text.error());
  return settings::parseDaemonSettings(file, *text, *overrides);
}

daemon::Services connect(const settings::DaemonSettings& settings) {
  const std::string caller = settings.zone.str() + "/" + settings.id.str();
  const platform::PlatformService service(settings.platform, caller);
  return {std::make_shared<platform::HttpTableClient>(service),
          std::make_shared<platform::HttpObjectStoreClient>(service),
          std::make_shared<platform::HttpEngineClient>(caller),
          std::make_shared<platform::HttpPlatformDirectory>(service)};
}

/// Waits for a stop signal, then for open requests and samples up to the drain limit.
void serveUntilStopped(daemon::Daemon& daemon, const settings::DaemonSettings& settings,
                       std::atomic<bool>& ready, std::atomic<bool>& stopping,
                       const std::atomic<std::uint32_t>& open_requests) {
  while (stop_signal == 0) {
    const bool now_ready = daemon.node().status().ready;
    if (now_ready != ready) {
      LINENPIER_LOG(info, "daemon") << (now_ready ? "Ready." : "Not ready.");
    }
    ready = now_ready;
    std::this_thread::sleep_for(kPollInterval);
  }
  LINENPIER_LOG(info, "daemon") << "Shutting down; waiting for open requests.";
  stopping = true;
  daemon.beginStop();
  std::this_thread::sleep_for(kDeregistrationDelay);
  const Instant limit = steadyNow() + settings.drain_limit;
  while (steadyNow() < limit) {
    if (open_requests == 0 && daemon.samplesRunning() == 0) break;
    std::this_thread::sleep_for(kPollInterval);
  }
}

int serve(const settings::DaemonSettings& settings) {
  std::atomic<bool> ready{false};
  std::atomic<bool> stopping{false};
  std::atomic<std::uint32_t> open_requests{0};
  api::ApiMetrics metrics;
  const daemon::Services services = connect(settings);
  daemon::Daemon daemon(settings, services, [&metrics](wire::FrameError error) {
    metrics.countRefusedFrame(wire::frameErrorName(error));
    LINENPIER_LOG(warning, "wire") << "Rejected frame: " << wire::frameErrorName(error) << ".";
  });
  if (const auto started = daemon.start(); !started) {
    std::cerr << describe(started.error());
    return kExitCannotBind;
  }
  api::ApiContext context{settings,        services,           daemon.node(), daemon.effects(),
                          daemon.config(), daemon.transport(), metrics,       ready,
                          stopping,        open_requests};
  api::HttpServer server(context);
  if (const auto started = server.start(); !started) {
    std::cerr << describe(started.error());
    return kExitCannotBind;
  }
  serveUntilStopped(daemon, settings, ready, stopping, open_requests);
  server.stop();
  daemon.stop();
  LINENPIER_LOG(info, "daemon") << "Stopped.";
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc});
  const auto settings = readDaemonSettings(arguments);
  if (!settings) {
    std::cerr << describe(settings.error());
    return kExitBadSettings;
  }
  if (arguments["--check"].asBool()) {
    std::cout << "Settings are valid.\n";
    return 0;
  }
  setUpLogging(settings->log_level);
  std::signal(SIGTERM, [](int) { stop_signal = 1; });
  std::signal(SIGINT, [](int) { stop_signal = 1; });
  std::signal(SIGPIPE, SIG_IGN);
  return serve(*settings);
}
