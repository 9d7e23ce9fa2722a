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
  int ends[2];
  cr_assert_eq(::pipe(ends), 0);
  cr_assert_eq(::dup2(ends[1], STDOUT_FILENO), STDOUT_FILENO);
  ::close(ends[1]);
  logging::startEventLog({"n", true, false});
  for (int i = 0; i < kLines; ++i) LogEvent("test", "line").number("number", i);
  std::string output;
  std::thread reader([&output, input = ends[0]] { output = readToEnd(input); });
  // The queue has room again after a time; a further line then reports what was dropped.
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  LogEvent("test", "last");
  logging::stopEventLog();
  ::close(STDOUT_FILENO);
  reader.join();
  cr_assert_neq(output.find("\"event\":\"last\""), std::string::npos);
  cr_assert_neq(output.find("\"event\":\"lines_dropped\""), std::string::npos);
}
