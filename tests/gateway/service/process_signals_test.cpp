/// @file
/// Tests of the signals of the gateway process.

#include "gateway/service/process_signals.h"

#include <csignal>

// Criterion's macros clash with Boost's headers that come after it.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

using namespace linenpier;

namespace {

constexpr std::chrono::milliseconds kDelivery{100};

}  // namespace

// Guards against a process that a reload of its settings ends while it starts.
Test(process_signals, signals_during_the_start_are_delivered_after_it) {
  boost::asio::io_context loop(1);
  gateway::process_signals signals(loop);
  int stops = 0;
  int reloads = 0;
  std::raise(SIGHUP);
  std::raise(SIGTERM);
  signals.start([&stops] { ++stops; }, [&reloads] { ++reloads; });
  loop.run_for(kDelivery);
  cr_assert_eq(reloads, 1);
  cr_assert_eq(stops, 1);
}

// Guards against a process that a second signal ends before its requests have ended.
Test(process_signals, repeated_signals_do_not_end_the_process) {
  boost::asio::io_context loop(1);
  gateway::process_signals signals(loop);
  int stops = 0;
  signals.start([&stops] { ++stops; }, [] {});
  for (const int signal : {SIGTERM, SIGINT, SIGTERM, SIGHUP}) {
    std::raise(signal);
    loop.restart();
    loop.run_for(kDelivery);
  }
  cr_assert_eq(stops, 3);
}
