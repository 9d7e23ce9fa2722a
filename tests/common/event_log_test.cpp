/// @file
/// Tests of the event log while nobody reads its output.

#include "common/event_log.h"

#include <unistd.h>

#include <string>
#include <thread>

// Criterion's macros clash with Boost's headers that come after it.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

using namespace linenpier;
using logging::LogEvent;

namespace {

/// More lines than the queue and a pipe hold.
constexpr int kLines = 20'000;

/// Of the time from a signal to the end of the process, what is left after the requests.
constexpr Duration kMaxStop = std::chrono::milliseconds(900);

/// Makes standard output a pipe that nobody reads. @return the other end of the pipe.
int blockOutput() {
  int ends[2];
  cr_assert_eq(::pipe(ends), 0);
  cr_assert_eq(::dup2(ends[1], STDOUT_FILENO), STDOUT_FILENO);
  ::close(ends[1]);
  return ends[0];
}

std::string readToEnd(int input) {
  std::string all;
  char block[4096];
  for (;;) {
    const ssize_t count = ::read(input, block, sizeof(block));
    if (count <= 0) return all;
    all.append(block, static_cast<std::size_t>(count));
  }
}

}  // namespace

// Guards against a process that ends because it reports, in a line that is dropped as well, that
// lines were dropped.
Test(event_log, lines_are_dropped_and_counted_while_the_output_is_blocked) {
  const int input = blockOutput();
  logging::startEventLog({"n", true, false});
  for (int i = 0; i < kLines; ++i) LogEvent("test", "line").number("number", i);
  std::string output;
  std::thread reader([&output, input] { output = readToEnd(input); });
  // The queue has room again after a time; a further line then reports what was dropped.
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  LogEvent("test", "last");
  cr_assert(logging::stopEventLog());
  ::close(STDOUT_FILENO);
  reader.join();
  cr_assert_neq(output.find("\"event\":\"last\""), std::string::npos);
  cr_assert_neq(output.find("\"event\":\"lines_dropped\""), std::string::npos);
}

// Guards against a process that does not end, since it waits until the lines in its log's queue are
// read.
Test(event_log, the_log_stops_in_time_while_the_output_is_blocked) {
  blockOutput();
  logging::startEventLog({"n", true, false});
  for (int i = 0; i < kLines; ++i) LogEvent("test", "line").number("number", i);
  const Instant begun = steadyNow();
  cr_assert_not(logging::stopEventLog());
  const Duration took = steadyNow() - begun;
  cr_assert(took < kMaxStop, "took %.3f s", toSeconds(took));
  std::quick_exit(0);
}
