/// @file
/// End-to-end tests of bursts in which engines crash one after the other while they run the same
/// sound work of a batch job.

#include "support/gateway_fixture.h"

using namespace linenpier;
using test::GatewayFixture;

namespace {

/// More crashes than those that bar a caller's request.
constexpr int kItemCrashes = 5;
constexpr int kRewardCrashes = 4;
/// Maximum time from the last crash until the item runs again.
constexpr Duration kMaxItemWait = std::chrono::seconds(5);
constexpr Duration kMaxRewardWait = std::chrono::seconds(6);

test::FixtureOptions slowStreams() {
  test::FixtureOptions options;
  options.gateways = 2;
  options.lookup_samplers = 3;
  options.model_samplers = 3;
  options.events = 8;
  return options;
}

std::size_t itemRuns(GatewayFixture& fixture) {
  std::size_t runs = 0;
  for (std::size_t i = 0; i < 3; ++i) runs += fixture.model(i).arrivals().size();
  return runs;
}

std::size_t rewardRuns(GatewayFixture& fixture) {
  std::size_t runs = 0;
  for (std::size_t i = 0; i < 3; ++i) runs += fixture.lookup(i).arrivals().size();
  return runs;
}

using run_counter = std::size_t (*)(GatewayFixture&);

/// Crashes all engines of a service `crashes` times, each time shortly after a run has started.
Task<void> crashUnderRuns(GatewayFixture& fixture, int crashes, run_counter runs, Duration limit,
                          std::function<void()> crash) {
  std::size_t before = 0;
  for (int i = 0; i < crashes; ++i) {
    const bool started = co_await fixture.waitFor(
        [&fixture, runs, before] { return runs(fixture) > before; }, limit);
    cr_assert(started, "no run %s after crash %d", "started", i);
    co_await sleepFor(fixture.loop(), std::chrono::milliseconds(60));
    before = runs(fixture);
    crash();
  }
  const bool runs_again =
      co_await fixture.waitFor([&fixture, runs, before] { return runs(fixture) > before; }, limit);
  cr_assert(runs_again, "the work was not placed again after %d crashes", crashes);
}

}  // namespace

// Guards against an item that is held for minutes, because several engines crashed while they ran
// it, although the engines serve again.
GATEWAY_TEST(crash_bursts, an_item_runs_again_after_engines_crashed_under_it, slowStreams()) {
  fixture.setFatal({});
  for (std::size_t i = 0; i < 3; ++i) fixture.model(i).setEventGap(std::chrono::milliseconds(200));
  const auto accepted = co_await fixture.call(0, fixture.jobRequest("job", 1));
  cr_assert_eq(accepted.response.result_int(), 202U);
  co_await crashUnderRuns(fixture, kItemCrashes, itemRuns, kMaxItemWait, [&fixture] {
    for (std::size_t i = 0; i < 3; ++i) fixture.model(i).crash();
  });
  const std::string results = co_await fixture.readAll(1, "job");
  cr_assert_neq(results.find("completed"), std::string::npos, "%s", results.c_str());
}

// Guards against an item that is complete but never scored, because engines crashed while they ran
// its reward request.
GATEWAY_TEST(crash_bursts, a_reward_request_runs_again_after_engines_crashed_under_it,
             slowStreams()) {
  fixture.setFatal({});
  for (std::size_t i = 0; i < 3; ++i)
    fixture.lookup(i).script().assign(kRewardCrashes, test::SamplerAct::kSilent);
  const auto accepted = co_await fixture.call(0, fixture.scoredJobRequest("job", 1));
  cr_assert_eq(accepted.response.result_int(), 202U);
  co_await crashUnderRuns(fixture, kRewardCrashes, rewardRuns, kMaxRewardWait, [&fixture] {
    for (std::size_t i = 0; i < 3; ++i) fixture.lookup(i).crash();
  });
  for (std::size_t i = 0; i < 3; ++i) fixture.lookup(i).script().clear();
}

// Guards against a caller's request that is barred by crashes under an item with the same content.
GATEWAY_TEST(crash_bursts, crashes_under_an_item_do_not_bar_a_callers_request, slowStreams()) {
  fixture.setFatal({});
  for (std::size_t i = 0; i < 3; ++i) fixture.model(i).setEventGap(std::chrono::milliseconds(200));
  http::Request job = fixture.jobRequest("job", 1);
  std::string& body = job.body();
  body.replace(body.find("/jobs/0"), 7, "/talk/0");
  job.prepare_payload();
  const auto accepted = co_await fixture.call(0, job);
  cr_assert_eq(accepted.response.result_int(), 202U);
  co_await crashUnderRuns(fixture, 3, itemRuns, kMaxItemWait, [&fixture] {
    for (std::size_t i = 0; i < 3; ++i) fixture.model(i).crash();
  });
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(800));
  http::Request same = fixture.lookupRequest("r", "/talk/0");
  same.set("Deadline-Ms", "4000");
  same.body() = "prompt 0";
  same.prepare_payload();
  const auto outcome = co_await fixture.call(0, same);
  cr_assert_eq(outcome.response.result_int(), 200U);
}
