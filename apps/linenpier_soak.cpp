/// @file
/// linenpier-soak: simulated platform, fault proxies, load and checker of a soak test.
/// `scripts/soak` starts it together with the gateways.

#include <docopt/docopt.h>

#include <iostream>

#include "soak/soak_run.h"

namespace {

constexpr char kUsage[] =
    R"(linenpier-soak: runs the simulated platform, fault proxies, load and checker of a soak test.

Usage:
  linenpier-soak --directory DIR [--seed N] [--seconds N] [--gateways N] [--break PROMISE]
  linenpier-soak --help

Options:
  --directory DIR  Output directory for the gateways' settings.
  --seed N         Seed of the faults [default: 1].
  --seconds N      Seconds with faults; about 15 without faults follow [default: 20].
  --gateways N     Number of gateways [default: 3].
  --break PROMISE  Violate a guarantee to test the checker:
                   answer: engines send answers that belong to other requests;
                   refusal: engines report requests that they ran as not run;
                   text: events of a stream repeat the text of the event before;
                   job: accepted jobs are deleted from the store;
                   ends: requests that crash engines differ each time, so none is recognized;
                   entry: the engine whose table entry should be invalid gets a valid one;
                   refused_job: jobs that were accepted count as refused.

Prints "signal NAME INDEX" for each signal that scripts/soak must send to a gateway process.
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
  options.gateways = static_cast<std::size_t>(arguments["--gateways"].asLong());
  options.directory = arguments["--directory"].asString();
  if (arguments["--break"]) options.broken = arguments["--break"].asString();
  boost::asio::io_context loop(1);
  soak::soak_run run(loop, options, std::cout);
  run.start();
  loop.run();
  // Exits without running destructors: suspended tasks still refer to the objects of this function.
  std::_Exit(run.violations() == 0 ? 0 : 1);
}
