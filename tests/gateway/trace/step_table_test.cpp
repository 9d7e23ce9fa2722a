#include "gateway/trace/step_table.h"

#include <criterion/criterion.h>

#include <sstream>

using namespace linenpier;

namespace {

std::string line(const std::string& node, int at, const std::string& more) {
  const std::string time = std::to_string(at);
  return "{\"wall_ms\":" + time + ",\"steady_ms\":" + time + ",\"node\":\"" + node +
         "\",\"part\":\"batch\"," + more + "}\n";
}

std::vector<logging::step_timeline> collectSteps(const std::string& log) {
  std::istringstream input(log);
  logging::TraceReader reader;
  reader.read(input);
  return logging::collectSteps(reader.all());
}

}  // namespace

Test(step_table, timeline_covers_submission_to_next_version) {
  const auto steps = collectSteps(
      line("a", 1000, R"("event":"submitted","batch":"j","outcome":"accepted","took_ms":50)") +
      line("b", 1010, R"("event":"job_active","batch":"j","model":"m","step":4)") +
      line("b", 1100, R"("event":"first_event","batch":"j")") +
      line("c", 1500, R"("event":"page_read","batch":"j")") +
      line("b", 4000, R"("event":"step_whole","batch":"j")") +
      line("b", 4020, R"("event":"step_listed","batch":"j")") +
      line("c", 4030, R"("event":"page_read","batch":"j")") +
      line("c", 4060, R"("event":"end_asked","batch":"j")") +
      line("a", 4600, R"("event":"named","model":"m","version":5)") +
      line("a", 5200, R"("event":"order_answered","model":"m","version":5,"outcome":"under_way")"));
  cr_assert_eq(steps.size(), 1U);
  const logging::step_timeline& step = steps[0];
  cr_assert_eq(step.model, "m");
  cr_assert_eq(step.owner, "b");
  cr_assert_eq(*step.step_number, 4);
  cr_assert_eq(*step.submitted, 950);
  cr_assert_eq(*step.accepted, 1000);
  cr_assert_eq(*step.first_event, 1100);
  cr_assert_eq(*step.complete, 4000);
  cr_assert_eq(*step.results_published, 4020);
  cr_assert_eq(*step.first_read, 4030, "reads before publication do not count");
  cr_assert_eq(*step.ended, 4060);
  cr_assert_eq(*step.next_version, 4600);
  cr_assert_eq(*step.engines_updated, 5200);
}

Test(step_table, times_without_a_log_line_are_empty) {
  const auto steps = collectSteps(
      line("a", 1000, R"("event":"submitted","batch":"j","outcome":"store_away","took_ms":1)"));
  cr_assert_eq(steps.size(), 1U);
  cr_assert_not(steps[0].accepted.has_value());
  cr_assert_not(steps[0].complete.has_value());
  const std::string table = logging::formatSteps(steps, 0);
  cr_assert(table.find(" - ") != std::string::npos);
}
