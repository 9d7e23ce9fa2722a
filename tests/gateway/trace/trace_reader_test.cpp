#include "gateway/trace/trace_reader.h"

#include <criterion/criterion.h>

#include <sstream>

#include "common/success_sampler.h"

using namespace linenpier;

namespace {

std::string line(const std::string& node, int wall, int steady, const std::string& more) {
  return "{\"wall_ms\":" + std::to_string(wall) + ",\"steady_ms\":" + std::to_string(steady) +
         ",\"node\":\"" + node + "\",\"part\":\"batch\"," + more + "}\n";
}

logging::Trace traceOf(const std::string& log, const std::string& id) {
  std::istringstream input(log);
  logging::TraceReader reader;
  reader.read(input);
  return reader.linesFor(id);
}

}  // namespace

Test(trace_reader, lines_of_several_daemons_are_in_time_order) {
  const auto trace = traceOf(line("b", 2000, 70, R"("event":"request_ended","request":"r")") +
                                 line("a", 1000, 5, R"("event":"admitted","request":"r")") +
                                 line("a", 1500, 505, R"("event":"other","request":"x")"),
                             "r");
  cr_assert_eq(trace.lines.size(), 2U);
  cr_assert_eq(trace.lines[0].node, "a");
  cr_assert_eq(trace.lines[1].node, "b");
}

Test(trace_reader, wall_clock_jump_does_not_reorder_lines) {
  const auto trace = traceOf(line("a", 1000, 100, R"("event":"one","request":"r")") +
                                 line("a", 90000, 200, R"("event":"two","request":"r")") +
                                 line("b", 1050, 7000, R"("event":"between","request":"r")"),
                             "r");
  cr_assert_eq(trace.lines[1].node, "b");
  cr_assert_float_eq(trace.lines[2].time_ms, 1100.0, 0.5);
}

Test(trace_reader, item_trace_includes_job_events) {
  const auto trace =
      traceOf(line("a", 1, 1, R"("event":"attempt_ended","batch":"j","item":"i")") +
                  line("a", 2, 2, R"("event":"attempt_ended","batch":"j","item":"other")") +
                  line("b", 3, 3, R"("event":"takeover","batch":"j")") +
                  line("b", 4, 4, R"("event":"takeover","batch":"other")"),
              "i");
  cr_assert_eq(trace.lines.size(), 2U);
  cr_assert_eq(traceOf(line("a", 1, 1, R"("event":"x","batch":"j","item":"i")"), "j").lines.size(),
               1U);
}

Test(trace_reader, invalid_lines_are_counted_and_prefixes_skipped) {
  const auto trace = traceOf("hello\n{\"wall_ms\":1,\"stea\n{\"a\":1}\n\n   0.12 node-1 " +
                                 line("a", 1, 1, R"("event":"x","request":"r")"),
                             "r");
  cr_assert_eq(trace.lines.size(), 1U);
  cr_assert_eq(trace.skipped_lines, 4U);
  cr_assert(logging::toText(trace).find("4 lines skipped") != std::string::npos);
}

Test(trace_reader, gaps_are_marked) {
  const auto trace = traceOf(line("a", 1, 1, R"("event":"x","request":"r")") +
                                 line("a", 901, 901, R"("event":"y","request":"r")"),
                             "r");
  cr_assert(logging::toText(trace).find("900 ms without a log line") != std::string::npos);
  cr_assert(logging::toJson(trace).find("time_ms") != std::string::npos);
}

Test(success_sampler, lines_above_the_rate_are_sampled_and_counted) {
  logging::SuccessSampler sampler(10, 5);
  const Instant start{std::chrono::seconds(100)};
  int written = 0;
  for (int i = 0; i < 100; ++i) written += sampler.admit(start) ? 1 : 0;
  cr_assert_eq(written, 28);
  cr_assert_eq(sampler.takeSkipped(), 72U);
  cr_assert_eq(sampler.takeSkipped(), 0U);
  cr_assert(sampler.admit(start + std::chrono::seconds(2)));
}
