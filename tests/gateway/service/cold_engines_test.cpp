/// @file
/// End-to-end tests of rate limiting for engines that have just started.

#include <algorithm>

#include "support/gateway_fixture.h"

using namespace linenpier;
using namespace std::chrono_literals;
using test::GatewayFixture;

namespace {

constexpr double kColdPerSecond = 4;
constexpr std::size_t kMaxPerSecond = 8;  ///< Rate 4 x factor 1.5 + burst 2.
constexpr Duration kColdDuration = 4s;
constexpr Duration kRestartWindow = 1400ms;  ///< Requests from before a restart still count.

test::FixtureOptions coldOptions(int model_samplers) {
  test::FixtureOptions options = test::twoGateways(5);
  options.model_samplers = model_samplers;
  options.cold_per_second = kColdPerSecond;
  options.cold = {1.5, 2};
  return options;
}

/// @return the maximum number of requests that the sampler received within one second.
std::size_t maxPerSecond(const test::StandinSampler& sampler) {
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

/// Marks the samplers' registry entries as cold and waits until the gateways have read them.
Task<void> markCold(GatewayFixture& fixture, int samplers) {
  for (int i = 0; i < samplers; ++i) {
    fixture.model(static_cast<std::size_t>(i)).setColdFor(kColdDuration);
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

Task<void> requestStream(GatewayFixture& fixture, std::size_t gateway, std::string id,
                         std::shared_ptr<stream_counts> counts) {
  http::Request request = fixture.lookupRequest(id, "/say/1");
  const http::CallOutcome outcome = co_await fixture.call(gateway, std::move(request));
  const unsigned status = outcome.response.result_int();
  if (status == 200) ++counts->served;
  if (status == 503) ++counts->refused;
}

/// Requests streams from both gateways concurrently.
Task<std::shared_ptr<stream_counts>> requestStreams(GatewayFixture& fixture, int each) {
  const auto counts = std::make_shared<stream_counts>();
  for (int i = 0; i < each; ++i) {
    for (std::size_t gateway = 0; gateway < 2; ++gateway) {
      const std::string id = "s" + std::to_string(gateway) + "-" + std::to_string(i);
      ++counts->asked;
      spawn(fixture.loop(), [&fixture, gateway, id, counts] {
        return requestStream(fixture, gateway, id, counts);
      });
    }
  }
  // Not a temporary: GCC 12 would destroy it twice.
  const std::function<bool()> all_ended = [counts] { return counts->ended() == counts->asked; };
  const bool ended = co_await fixture.waitFor(all_ended);
  cr_assert(ended, "%d of %d streams ended", counts->ended(), counts->asked);
  co_return counts;
}

}  // namespace

GATEWAY_TEST(cold_engines_gateway, a_job_is_served_within_the_limit_if_all_engines_are_cold,
             coldOptions(2)) {
  co_await sleepFor(fixture.loop(), kRestartWindow);
  co_await markCold(fixture, 2);
  co_await fixture.call(0, fixture.jobRequest("job", 16));
  co_await sleepFor(fixture.loop(), 2500ms);
  const std::size_t while_cold =
      fixture.model(0).arrivals().size() + fixture.model(1).arrivals().size();
  cr_assert_gt(while_cold, 0U, "no request was admitted while cold");
  const std::string results = co_await fixture.readAll(1, "job");
  cr_assert_eq(std::count(results.begin(), results.end(), '\n'), 16);
  for (std::size_t i = 0; i < 2; ++i) {
    cr_assert_leq(maxPerSecond(fixture.model(i)), kMaxPerSecond, "%zu",
                  maxPerSecond(fixture.model(i)));
  }
}

GATEWAY_TEST(cold_engines_gateway,
             an_engine_that_is_cold_without_notice_gets_no_more_than_its_limit, coldOptions(1)) {
  co_await sleepFor(fixture.loop(), kRestartWindow);
  const auto counts = co_await requestStreams(fixture, 12);
  cr_assert_leq(maxPerSecond(fixture.model(0)), kMaxPerSecond, "%zu",
                maxPerSecond(fixture.model(0)));
  cr_assert_eq(counts->served, static_cast<int>(kMaxPerSecond),
               "the number of served requests differs from the limit");
  cr_assert_eq(counts->refused, counts->asked - counts->served,
               "excess requests must be refused as not executed");
}

GATEWAY_TEST(cold_engines_gateway, an_engine_that_turns_cold_again_is_limited_again,
             coldOptions(1)) {
  co_await sleepFor(fixture.loop(), kRestartWindow);
  for (int round = 0; round < 2; ++round) {
    co_await markCold(fixture, 1);
    co_await sleepFor(fixture.loop(), 700ms);
    const std::size_t before = fixture.model(0).arrivals().size();
    co_await requestStreams(fixture, 12);
    const std::size_t sent = fixture.model(0).arrivals().size() - before;
    cr_assert_geq(sent, 2U);
    cr_assert_leq(sent, 4U, "%zu requests in round %d: each of two daemons may send a quarter",
                  sent, round);
    fixture.model(0).setColdFor(0s);
    fixture.putSamplers();
    co_await sleepFor(fixture.loop(), kColdDuration);
  }
  cr_assert_leq(maxPerSecond(fixture.model(0)), kMaxPerSecond);
}

GATEWAY_TEST(cold_engines_gateway, a_daemon_that_just_started_sends_nothing_to_a_cold_engine,
             coldOptions(1)) {
  fixture.model(0).setColdFor(kColdDuration);
  fixture.putSamplers();
  co_await sleepFor(fixture.loop(), kRestartWindow + 800ms);
  fixture.addGateway("d2");
  cr_assert(co_await fixture.waitReady(2));
  co_await sleepFor(fixture.loop(), 100ms);
  const std::size_t before = fixture.model(0).arrivals().size();
  const auto outcome = co_await fixture.call(2, fixture.lookupRequest("s", "/say/1"));
  cr_assert_eq(outcome.response.result_int(), 503U);
  cr_assert_eq(fixture.model(0).arrivals().size(), before);
}

GATEWAY_TEST(cold_engines_gateway, services_without_a_limit_are_not_limited, test::twoGateways(5)) {
  co_await markCold(fixture, 2);
  const auto counts = co_await requestStreams(fixture, 12);
  cr_assert_eq(counts->served, counts->asked);
}
