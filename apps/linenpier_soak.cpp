/// @file
/// linenpier-soak: the world around the gateways of a soak. `scripts/soak` starts it and them.

#include <docopt/docopt.h>

#include <iostream>

#include "soak/soak_run.h"

namespace {

constexpr char kUsage[] =
    R"(linenpier-soak: stand-ins, proxies, a caller, a trainer and the checker of a soak.

Usage:
  linenpier-soak --directory DIR [--seed N] [--seconds N] [--break PROMISE]
  linenpier-soak --help

Options:
  --directory DIR  Where the gateways' settings are written.
  --seed N         Of the faults [default: 1].
  --seconds N      With faults; some 15 more follow without [default: 20].
  --break PROMISE  Breaks one on purpose: answer, refusal, text, job or ends.

Writes "signal NAME INDEX" for each signal that a gateway's process is to be sent.
Exit codes: 0 no violation, 1 a violation was found.
)";

}  // namespace

int main(int argc, char** argv) {
  using namespace linenpier;
  std::signal(SIGPIPE, SIG_IGN);
  auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true, "linenpier-soak 0.1.0");
  soak::soak_options options;
  options.seed = static_cast<std::uint64_t>(arguments["--seed"].asLong());
  options.length = std::chrono::seconds(arguments["--seconds"].asLong());
  options.directory = arguments["--directory"].asString();
  if (arguments["--break"]) options.broken = arguments["--break"].asString();
  boost::asio::io_context loop(1);
  soak::soak_run run(loop, options, std::cout);
  run.start();
  loop.run();
  // Tasks that are still waiting hold references to the parts; the process just ends.
  std::_Exit(run.violations() == 0 ? 0 : 1);
}
