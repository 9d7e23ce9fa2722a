/// @file
/// Whole gateways before engines that have just started and bear little.

#include <algorithm>

#include "support/gateway_fixture.h"

using namespace linenpier;
using namespace std::chrono_literals;
using test::GatewayFixture;

namespace {

constexpr double kColdPerSecond = 4;
constexpr std::size_t kMost = 8;  ///< 4 x 1.5 + 2 requests in any second.
constexpr Duration kColdFor = 4s;
constexpr Duration kEarlierLife = 1400ms;  ///< In which an earlier life's requests still count.

test::FixtureOptions coldOptions(int model_samplers) {
  test::FixtureOptions options = test::twoGateways(5);
  options.model_samplers = model_samplers;
  options.cold_per_second = kColdPerSecond;
  options.cold = {1.5, 2};
  return options;
}

/// @return the most requests that the sampler got within any second.
std::size_t mostInASecond(const test::StandinSampler& sampler) {
  std::size_t most = 0;
  for (const test::SamplerArrival& first : sampler.arrivals()) {
    const auto within = [&first](const test::SamplerArrival& each) {
      return each.at >= first.at && each.at <= first.at + 1s;
    };
    const auto count = std::count_if(sampler.arrivals().begin(), sampler.arrivals().end(), within);
    most = std::max(most, static_cast<std::size_t>(count));
  }
  return most;
}

/// The samplers' entries say that they are cold, and the gateways have heard it.
Task<void> turnCold(GatewayFixture& fixture, int samplers) {
  for (int i = 0; i < samplers; ++i) {
    fixture.model(static_cast<std::size_t>(i)).setColdFor(kColdFor);
  }
  fixture.putSamplers();
  co_await sleepFor(fixture.loop(), 800ms);
}

struct stream_counts {
  int asked = 0;
  int served = 0;
  int refused = 0;
  int ended() const { return served + refused; }
};

Task<void> askStream(GatewayFixture& fixture, std::size_t gateway, std::string id,
                     std::shared_ptr<stream_counts> counts) {
  http::Request request = fixture.lookupRequest(id, "/say/1");
  const http::CallOutcome outcome = co_await fixture.call(gateway, std::move(request));
  const unsigned status = outcome.response.result_int();
  if (status == 200) ++counts->served;
  if (status == 503) ++counts->refused;
}

/// Asks both gateways for streams, all at once.
Task<std::shared_ptr<stream_counts>> askStreams(GatewayFixture& fixture, int each) {
  const auto counts = std::make_shared<stream_counts>();
  for (int i = 0; i < each; ++i) {
    for (std::size_t gateway = 0; gateway < 2; ++gateway) {
      const std::string id = "s" + std::to_string(gateway) + "-" + std::to_string(i);
      ++counts->asked;
      spawn(fixture.loop(),
            [&fixture, gateway, id, counts] { return askStream(fixture, gateway, id, counts); });
    }
  }
  // A temporary here would be destroyed twice (GCC 12).
  const std::function<bool()> all_ended = [counts] { return counts->ended() == counts->asked; };
  const bool ended = co_await fixture.waitFor(all_ended);
  cr_assert(ended, "%d of %d", counts->ended(), counts->asked);
  co_return counts;
}

}  // namespace

GATEWAY_TEST(cold_engines_gateway,
             a_job_before_engines_that_are_all_cold_is_served_within_the_bound, coldOptions(2)) {
  co_await sleepFor(fixture.loop(), kEarlierLife);
  co_await turnCold(fixture, 2);
  co_await fixture.call(0, fixture.jobRequest("job", 16));
  co_await sleepFor(fixture.loop(), 2500ms);
  const std::size_t while_cold =
      fixture.model(0).arrivals().size() + fixture.model(1).arrivals().size();
  cr_assert_gt(while_cold, 0U, "what may be served is served");
  const std::string results = co_await fixture.readAll(1, "job");
  cr_assert_eq(std::count(results.begin(), results.end(), '\n'), 16);
  for (std::size_t i = 0; i < 2; ++i) {
    cr_assert_leq(mostInASecond(fixture.model(i)), kMost, "%zu", mostInASecond(fixture.model(i)));
  }
}

GATEWAY_TEST(cold_engines_gateway, an_engine_that_turned_cold_unheard_gets_no_more_than_it_bears,
             coldOptions(1)) {
  co_await sleepFor(fixture.loop(), kEarlierLife);
  const auto counts = co_await askStreams(fixture, 12);
  cr_assert_leq(mostInASecond(fixture.model(0)), kMost, "%zu", mostInASecond(fixture.model(0)));
  cr_assert_eq(counts->served, static_cast<int>(kMost), "it bears that much");
  cr_assert_eq(counts->refused, counts->asked - counts->served, "at once, and as not run");
}

GATEWAY_TEST(cold_engines_gateway, an_engine_that_turns_cold_once_more_is_bounded_once_more,
             coldOptions(1)) {
  co_await sleepFor(fixture.loop(), kEarlierLife);
  for (int round = 0; round < 2; ++round) {
    co_await turnCold(fixture, 1);
    co_await sleepFor(fixture.loop(), 700ms);
    const std::size_t before = fixture.model(0).arrivals().size();
    co_await askStreams(fixture, 12);
    const std::size_t sent = fixture.model(0).arrivals().size() - before;
    cr_assert_geq(sent, 2U);
    cr_assert_leq(sent, 4U, "%zu in round %d: two daemons, a quarter each", sent, round);
    fixture.model(0).setColdFor(0s);
    fixture.putSamplers();
    co_await sleepFor(fixture.loop(), kColdFor);
  }
  cr_assert_leq(mostInASecond(fixture.model(0)), kMost);
}

GATEWAY_TEST(cold_engines_gateway, a_daemon_that_has_just_started_sends_nothing_to_a_cold_engine,
             coldOptions(1)) {
  fixture.model(0).setColdFor(kColdFor);
  fixture.putSamplers();
  co_await sleepFor(fixture.loop(), kEarlierLife + 800ms);
  fixture.addGateway("d2");
  cr_assert(co_await fixture.waitReady(2));
  co_await sleepFor(fixture.loop(), 100ms);
  const std::size_t before = fixture.model(0).arrivals().size();
  const auto outcome = co_await fixture.call(2, fixture.lookupRequest("s", "/say/1"));
  cr_assert_eq(outcome.response.result_int(), 503U);
  cr_assert_eq(fixture.model(0).arrivals().size(), before);
}

GATEWAY_TEST(cold_engines_gateway, services_without_a_bound_are_served_as_ever,
             test::twoGateways(5)) {
  co_await turnCold(fixture, 2);
  const auto counts = co_await askStreams(fixture, 12);
  cr_assert_eq(counts->served, counts->asked);
}
