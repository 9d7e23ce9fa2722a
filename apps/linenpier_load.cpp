/// @file
/// linenpier-load: runs the load of a scenario file and checks the responses.

#include <docopt/docopt.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <thread>

#include "common/log.h"
#include "testbed/load/report.h"

namespace {

using namespace linenpier;

constexpr char kUsage[] =
    R"(linenpier-load: runs callers and trainers against daemons and checks the responses.

Usage:
  linenpier-load run SCENARIO [--json FILE] [--seed N] [--duration S]
  linenpier-load --help

Options:
  --json FILE   Write the result as JSON.
  --seed N      Overrides the scenario's seed.
  --duration S  Overrides the scenario's duration in seconds.

Exit codes: 0 no violation, 1 a violation was found, 2 the scenario is invalid.
)";

load::RunResult runScenario(const load::Scenario& scenario) {
  load::RunResult result;
  load::Targets targets(scenario.targets);
  result.callers.resize(scenario.callers.size());
  result.trainers.resize(scenario.trainers.size());
  const Duration duration = fromSeconds(scenario.duration_s);
  std::vector<std::thread> threads;
  std::uint64_t seed = scenario.seed;
  for (std::size_t i = 0; i < scenario.callers.size(); ++i) {
    threads.emplace_back([&, i, own_seed = ++seed * 7919] {
      load::Caller caller(scenario.callers[i], targets, own_seed);
      result.callers[i] = caller.run(duration);
    });
  }
  for (std::size_t i = 0; i < scenario.trainers.size(); ++i) {
    threads.emplace_back([&, i, own_seed = ++seed * 7919] {
      load::Trainer trainer(scenario.trainers[i], targets, scenario.platform, own_seed);
      result.trainers[i] = trainer.run(duration);
    });
  }
  if (isatty(STDERR_FILENO) != 0) {
    const Instant start = steadyNow();
    while (steadyNow() - start < duration) {
      std::cerr << "\r" << static_cast<int>(toSeconds(steadyNow() - start)) << " of "
                << scenario.duration_s << " s " << std::flush;
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
    std::cerr << "\r";
  }
  for (std::thread& thread : threads) thread.join();
  result.record = load::readRecord(scenario.platform);
  return result;
}

}  // namespace

int main(int argc, char** argv) {
  auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc});
  std::signal(SIGPIPE, SIG_IGN);
  setUpLogging("error");
  auto scenario = load::readScenario(arguments["SCENARIO"].asString());
  if (!scenario) {
    std::cerr << describe(scenario.error());
    return 2;
  }
  if (arguments["--seed"]) scenario->seed = std::stoull(arguments["--seed"].asString());
  if (arguments["--duration"]) scenario->duration_s = std::stod(arguments["--duration"].asString());
  const load::RunResult result = runScenario(*scenario);
  std::cout << load::toTable(result);
  if (arguments["--json"]) {
    std::ofstream(arguments["--json"].asString()) << load::toJson(result) << "\n";
  }
  return load::judge(result).sum() == 0 ? 0 : 1;
}
