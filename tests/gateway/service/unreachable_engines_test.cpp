/// @file
/// End-to-end tests of items of batch jobs whose engine crashes and refuses connections until it
/// has restarted.

#include "support/gateway_fixture.h"

using namespace linenpier;
using test::GatewayFixture;

namespace {

constexpr int kItems = 6;
/// Longer than the backoff after a rejection, so that items are sent again before the restart.
constexpr Duration kDowntime = std::chrono::milliseconds(900);
/// Each item runs twice, and once at most for each ejection of the engine while it is down.
constexpr std::uint64_t kMaxAttempts = 6 * kItems;

test::FixtureOptions oneEngine() {
  test::FixtureOptions options;
  options.model_samplers = 1;
  options.events = 20;
  return options;
}

}  // namespace

// Guards against a gateway that sends items to an engine without a pause, because the engine broke
// responses just before it became unreachable.
GATEWAY_TEST(unreachable_engines, a_crashed_engine_gets_few_attempts_until_it_restarts,
             oneEngine()) {
  test::StandinSampler& engine = fixture.model(0);
  fixture.setFatal({"", std::chrono::milliseconds(20), kDowntime});
  engine.setEventGap(std::chrono::milliseconds(50));
  engine.script().assign(kItems - 1, test::SamplerAct::kAnswer);
  engine.script().push_back(test::SamplerAct::kShed);
  const auto accepted = co_await fixture.call(0, fixture.jobRequest("job", kItems));
  cr_assert_eq(accepted.response.result_int(), 202U);
  const bool started =
      co_await fixture.waitFor([&engine] { return engine.arrivals().size() >= kItems; });
  cr_assert(started);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(60));
  engine.crash();
  co_await fixture.readAll(0, "job");
  const std::uint64_t attempts = co_await fixture.metric(0, "linenpier_item_attempts");
  cr_assert_leq(attempts, kMaxAttempts, "%zu attempts", attempts);
}
