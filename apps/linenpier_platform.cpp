/// @file
/// linenpier-platform: simulated platform for demonstrations and tests.

#include <docopt/docopt.h>

#include <csignal>
#include <iostream>
#include <thread>

#include "common/log.h"
#include "testbed/standin/platform_server.h"

namespace {

using namespace linenpier;

constexpr char kUsage[] =
    R"(linenpier-platform: simulates engines, stores and the machine list of a platform.

Usage:
  linenpier-platform --settings FILE [--seed N] [--log LEVEL]
  linenpier-platform --help

Options:
  --settings FILE  Simulated topology (TOML).
  --seed N         Random seed [default: 1].
  --log LEVEL      trace, debug, info, warning or error [default: info].

Exit codes: 0 clean shutdown, 2 invalid settings, 3 an address could not be bound.
)";

volatile std::sig_atomic_t stop_signal = 0;

}  // namespace

int main(int argc, char** argv) {
  auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc});
  setUpLogging(arguments["--log"].asString());
  const auto topology = standin::readTopology(arguments["--settings"].asString());
  if (!topology) {
    std::cerr << describe(topology.error());
    return 2;
  }
  std::signal(SIGTERM, [](int) { stop_signal = 1; });
  std::signal(SIGINT, [](int) { stop_signal = 1; });
  std::signal(SIGPIPE, SIG_IGN);
  standin::PlatformServer server(*topology,
                                 static_cast<std::uint64_t>(arguments["--seed"].asLong()));
  if (const auto started = server.start(); !started) {
    std::cerr << describe(started.error());
    return 3;
  }
  while (stop_signal == 0) std::this_thread::sleep_for(std::chrono::milliseconds(50));
  server.stop();
  return 0;
}
