/// @file
/// End-to-end tests of jobs that their owner stops and resumes within one lease, while writes of
/// the first run are still open.

#include <nlohmann/json.hpp>
#include <set>

#include "support/gateway_fixture.h"

using namespace linenpier;
using nlohmann::json;
using test::GatewayFixture;
using test::StoreAct;

namespace {

constexpr int kItems = 40;
const std::string kBothRegions = R"(,"allowedRegions":["near","far"])";
const std::string kNearOnly = R"(,"allowedRegions":["near"])";
const std::string kFarOnly = R"(,"allowedRegions":["far"])";
const std::string kResultRows = "results/";
const std::string kJobRows = "linenpier/job/";

/// A gateway in each of two regions. The first one owns the jobs submitted to it.
test::FixtureOptions twoRegions() {
  test::FixtureOptions options = test::twoGateways(12);
  options.zones = {"z", "y"};
  options.model_zones = {"z", "y"};
  options.layout = fleet::fleet_layout(
      {{ZoneName("z"), RegionName("near")}, {ZoneName("y"), RegionName("far")}});
  options.job_fields = kNearOnly;
  return options;
}

/// @return a job whose results are appended before they are published.
http::Request trainerJob(const GatewayFixture& fixture, const std::string& id) {
  http::Request request = fixture.jobRequest(id, kItems);
  json document = json::parse(request.body());
  document["desired"] = kItems / 2;
  request.body() = document.dump();
  request.prepare_payload();
  return request;
}

void setRegions(GatewayFixture& fixture, std::uint64_t version, const std::string& regions) {
  fixture.setRouteFields(regions);
  fixture.putConfiguration(version);
}

/// Sets the time per event of the two engines.
void setPace(GatewayFixture& fixture, Duration first, Duration second) {
  fixture.model(0).setEventGap(first);
  fixture.model(1).setEventGap(second);
}

/// What happens to the writes of a job's first run.
struct open_writes {
  /// Delay of the first append: the resumed run has appended results by then, but published none.
  Duration append_delay;
  StoreAct release = StoreAct::kRefuse;  ///< What the store does with releases of the job.
  Duration release_delay{};              ///< Delay of releases that are executed late.
  Duration away{};                       ///< Time for which the owner's region is not allowed.
};

/// Runs a job whose first append is executed late. Before that, the owner's region is disallowed
/// and allowed again, so that the owner stops the job and resumes it.
Task<void> resumeBeforeLateAppend(GatewayFixture& fixture, open_writes open) {
  setRegions(fixture, 4, kBothRegions);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(300));
  setPace(fixture, std::chrono::milliseconds(20), std::chrono::milliseconds(45));
  const auto accepted = co_await fixture.call(0, trainerJob(fixture, "job"));
  cr_assert_eq(accepted.response.result_int(), 202U);
  fixture.store().setScript({kResultRows, {StoreAct::kHangExecuteLate}, open.append_delay});
  const bool appended =
      co_await fixture.waitFor([&fixture] { return fixture.store().actsLeft() == 0; });
  cr_assert(appended);
  fixture.store().setScript(
      {kJobRows, std::deque<StoreAct>(100, open.release), open.release_delay});
  setRegions(fixture, 5, kFarOnly);
  co_await sleepFor(fixture.loop(), open.away);
  // The resumed run finishes the items in another order.
  setPace(fixture, std::chrono::milliseconds(90), std::chrono::milliseconds(60));
  setRegions(fixture, 6, kBothRegions);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(100));
  fixture.store().setScript({});
  co_await sleepFor(fixture.loop(), open.append_delay);
}

/// Checks that both daemons list each item at one position, the same at both.
Task<void> checkPositions(GatewayFixture& fixture) {
  const std::string listed = co_await fixture.readAll(0, "job");
  const std::string listed_elsewhere = co_await fixture.readAll(1, "job");
  std::set<std::string> items;
  std::istringstream lines(listed);
  for (std::string line; std::getline(lines, line);)
    items.insert(json::parse(line)["id"].get<std::string>());
  cr_expect_eq(items.size(), static_cast<std::size_t>(kItems),
               "%zu of %d items are listed, the others' positions hold these again", items.size(),
               kItems);
  cr_expect(listed == listed_elsewhere, "the daemons list different results");
}

}  // namespace

// Guards against an overwritten result: an owner that stopped and resumed a job meets the late
// append of its earlier run, whose fence still holds.
GATEWAY_TEST(job_fence, a_late_append_after_a_refused_release_changes_no_result, twoRegions()) {
  co_await resumeBeforeLateAppend(fixture, {.append_delay = std::chrono::milliseconds(2200),
                                            .release = StoreAct::kRefuse,
                                            .away = std::chrono::milliseconds(700)});
  co_await checkPositions(fixture);
}

// Guards against the same with a release that is unanswered and executed after the job has resumed.
GATEWAY_TEST(job_fence, a_late_append_after_a_late_release_changes_no_result, twoRegions()) {
  co_await resumeBeforeLateAppend(fixture, {.append_delay = std::chrono::milliseconds(3500),
                                            .release = StoreAct::kHangExecuteLate,
                                            .release_delay = std::chrono::milliseconds(4200),
                                            .away = std::chrono::milliseconds(1000)});
  co_await checkPositions(fixture);
}

// Guards against results of an earlier run that the resumed run ignores, because the job's row does
// not tell yet that an owner has started it.
GATEWAY_TEST(job_fence, a_resumed_run_keeps_the_results_appended_before, twoRegions()) {
  setRegions(fixture, 4, kBothRegions);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(300));
  setPace(fixture, std::chrono::milliseconds(20), std::chrono::milliseconds(45));
  co_await fixture.call(0, trainerJob(fixture, "job"));
  const bool appended =
      co_await fixture.waitFor([&fixture] { return !fixture.store().keys("results").empty(); });
  cr_assert(appended);
  const std::vector<std::string> positions = fixture.store().keys("results");
  std::vector<std::string> before;
  for (const std::string& key : positions) before.push_back(*fixture.store().get("results", key));
  fixture.store().setScript({kJobRows, std::deque<StoreAct>(100, StoreAct::kRefuse)});
  setRegions(fixture, 5, kFarOnly);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(700));
  setPace(fixture, std::chrono::milliseconds(90), std::chrono::milliseconds(60));
  fixture.store().setScript({});
  setRegions(fixture, 6, kBothRegions);
  co_await checkPositions(fixture);
  for (std::size_t i = 0; i < positions.size(); ++i) {
    cr_expect(fixture.store().get("results", positions[i]) == before[i],
              "the result at %s has changed", positions[i].c_str());
  }
}
