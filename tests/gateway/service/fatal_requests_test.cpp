/// @file
/// End-to-end tests of requests that crash every engine that executes them. They guard against a
/// client that retries such a request at other daemons and takes down a whole service.

#include "support/gateway_fixture.h"

using namespace linenpier;
using test::GatewayFixture;

namespace {

/// Engines that one request may crash: three until it is identified, and three more.
constexpr int kMaxCrashes = 6;
constexpr Duration kRetryInterval = std::chrono::milliseconds(150);

test::FixtureOptions threeDaemons() {
  test::FixtureOptions options;
  options.gateways = 3;
  options.lookup_samplers = 4;
  options.model_samplers = 4;
  return options;
}

http::Request makeRequest(GatewayFixture& fixture, const std::string& id, const std::string& body,
                          const std::string& path = "/look/1") {
  http::Request request = fixture.lookupRequest(id, path);
  request.body() = body;
  request.prepare_payload();
  return request;
}

/// The same request each time, with a unique id.
http::Request fatalLookup(GatewayFixture& fixture, int number) {
  return makeRequest(fixture, "f" + std::to_string(number), "fatal");
}

/// Sends the request repeatedly, round-robin to `daemons` daemons starting at `first`.
Task<void> sendFatal(GatewayFixture& fixture, int times, std::size_t first, std::size_t daemons) {
  for (int i = 0; i < times; ++i) {
    const std::size_t daemon = first + static_cast<std::size_t>(i) % daemons;
    http::Request request = fatalLookup(fixture, i);
    co_await fixture.call(daemon, std::move(request));
    co_await sleepFor(fixture.loop(), kRetryInterval);
  }
}

}  // namespace

GATEWAY_TEST(fatal_requests, a_repeated_request_crashes_few_engines, threeDaemons()) {
  fixture.setFatal({.mark = "fatal"});
  co_await sendFatal(fixture, 60, 0, 3);
  cr_assert_leq(fixture.samplerCrashes(), kMaxCrashes, "%d engines crashed",
                fixture.samplerCrashes());
}

GATEWAY_TEST(fatal_requests, a_request_is_remembered_after_all_daemons_restart, threeDaemons()) {
  fixture.setFatal({.mark = "fatal"});
  co_await sendFatal(fixture, 50, 0, 3);
  // Only the new daemons receive requests from here on.
  for (const char* name : {"d3", "d4", "d5"}) fixture.addGateway(name);
  for (std::size_t daemon = 3; daemon < 6; ++daemon) cr_assert(co_await fixture.waitReady(daemon));
  const int before = fixture.samplerCrashes();
  co_await sendFatal(fixture, 20, 3, 3);
  cr_assert_eq(fixture.samplerCrashes(), before, "%d more engines crashed",
               fixture.samplerCrashes() - before);
}

GATEWAY_TEST(fatal_requests, an_item_crashes_few_engines_and_the_others_complete, threeDaemons()) {
  fixture.setFatal({.mark = "prompt 0"});
  const auto handed_in = co_await fixture.call(0, fixture.jobRequest("j1", 4));
  cr_assert_eq(handed_in.response.result_int(), 202U);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(12));
  cr_assert_leq(fixture.samplerCrashes(), kMaxCrashes, "%d engines crashed",
                fixture.samplerCrashes());
  http::Request read(boost::beast::http::verb::get, "/linenpier/lots/j1?afterRev=0", 11);
  read.set("Host", "h.example");
  const auto listed = co_await fixture.call(1, std::move(read));
  cr_assert_neq(listed.response.body().find("\"nextToken\":3"), std::string::npos,
                "the three other items are missing: %s", listed.response.body().c_str());
}

GATEWAY_TEST(fatal_requests, concurrent_requests_to_all_daemons_crash_few_engines, threeDaemons()) {
  fixture.setFatal({.mark = "fatal"});
  int answered = 0;
  for (int i = 0; i < 9; ++i) {
    spawn(fixture.loop(), [&fixture, &answered, i]() -> Task<void> {
      http::Request request = fatalLookup(fixture, i);
      co_await fixture.call(static_cast<std::size_t>(i % 3), std::move(request));
      ++answered;
    });
  }
  cr_assert(co_await fixture.waitFor([&answered] { return answered == 9; }));
  cr_assert_leq(fixture.samplerCrashes(), 4,
                "more than one crash per engine before the request was identified");
  const int before = fixture.samplerCrashes();
  co_await sendFatal(fixture, 60, 0, 3);
  cr_assert_leq(fixture.samplerCrashes() - before, 2,
                "more crashes than needed to identify the request");
}

GATEWAY_TEST(fatal_requests, the_client_gets_a_retry_time_at_once, threeDaemons()) {
  fixture.setFatal({.mark = "fatal"});
  http::Request first = fatalLookup(fixture, 0);
  const auto ran = co_await fixture.call(0, std::move(first));
  cr_assert_eq(ran.response.result_int(), 502U,
               "the request has run and must not be refused as not executed");
  cr_assert_gt(std::stod(http::fieldText(ran.response, "Retry-After")), 4.0);
  // Covers a store write and a feed response, which batches changes for 0.08 s.
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(200));
  const Instant begun = steadyNow();
  http::Request second = fatalLookup(fixture, 1);
  const auto refused = co_await fixture.call(1, std::move(second));
  cr_assert(steadyNow() - begun < std::chrono::milliseconds(100));
  cr_assert_eq(refused.response.result_int(), 503U, "the request has not run");
  cr_assert_gt(std::stod(http::fieldText(refused.response, "Retry-After")), 4.0);
}

GATEWAY_TEST(fatal_requests, unrelated_requests_are_served_after_each_crash, threeDaemons()) {
  fixture.setFatal({.mark = "fatal"});
  for (int round = 0; round < 4; ++round) {
    // An unrelated request runs on every engine when all of them crash.
    int served = 0;
    for (int i = 0; i < 6; ++i) {
      fixture.lookup(static_cast<std::size_t>(i % 4)).script().push_back(test::SamplerAct::kSilent);
      spawn(fixture.loop(), [&fixture, &served, i]() -> Task<void> {
        http::Request request = makeRequest(fixture, "n" + std::to_string(i), "innocent");
        co_await fixture.call(static_cast<std::size_t>(i % 3), std::move(request));
        ++served;
      });
    }
    co_await sleepFor(fixture.loop(), std::chrono::milliseconds(60));
    for (std::size_t i = 0; i < 4; ++i) fixture.lookup(i).crash();
    cr_assert(co_await fixture.waitFor([&served] { return served == 6; }));
    for (std::size_t i = 0; i < 4; ++i) fixture.lookup(i).script().clear();
    co_await sleepFor(fixture.loop(), std::chrono::milliseconds(1200));
    http::Request again = makeRequest(fixture, "a" + std::to_string(round), "innocent");
    const auto outcome = co_await fixture.call(0, std::move(again));
    cr_assert_eq(outcome.response.result_int(), 200U, "round %d", round);
  }
}

GATEWAY_TEST(fatal_requests, a_daemon_without_the_store_learns_of_the_request_from_peers,
             threeDaemons()) {
  fixture.setFatal({.mark = "fatal"});
  co_await sendFatal(fixture, 50, 0, 2);
  const int before = fixture.samplerCrashes();
  fixture.cutFromStore(2);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(4));
  co_await sendFatal(fixture, 10, 2, 1);
  cr_assert_eq(fixture.samplerCrashes(), before);
}

GATEWAY_TEST(fatal_requests, crashes_seen_by_a_daemon_without_the_store_reach_the_others,
             threeDaemons()) {
  fixture.setFatal({.mark = "fatal"});
  fixture.cutFromStore(2);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(4));
  co_await sendFatal(fixture, 50, 2, 1);
  const int before = fixture.samplerCrashes();
  cr_assert_leq(before, 4);
  co_await sendFatal(fixture, 10, 0, 2);
  cr_assert_eq(fixture.samplerCrashes(), before);
}

GATEWAY_TEST(fatal_requests, without_the_store_each_daemon_uses_its_own_observations,
             threeDaemons()) {
  fixture.setFatal({.mark = "fatal"});
  fixture.store().faults().silent = true;
  co_await sleepFor(fixture.loop(), std::chrono::seconds(4));
  co_await sendFatal(fixture, 45, 0, 3);
  cr_assert_leq(fixture.samplerCrashes(), 4 * 3,
                "more crashes than each daemon needs to identify the request");
  fixture.store().faults().silent = false;
  co_await sleepFor(fixture.loop(), std::chrono::seconds(3));
  const int before = fixture.samplerCrashes();
  co_await sendFatal(fixture, 20, 0, 3);
  cr_assert_leq(fixture.samplerCrashes() - before, 1);
}

GATEWAY_TEST(fatal_requests, a_stream_crashes_few_engines, threeDaemons()) {
  fixture.setFatal({.mark = "fatal"});
  for (int i = 0; i < 50; ++i) {
    http::Request request = makeRequest(fixture, "s" + std::to_string(i), "fatal", "/talk/1");
    co_await fixture.call(static_cast<std::size_t>(i % 3), std::move(request));
    co_await sleepFor(fixture.loop(), kRetryInterval);
  }
  cr_assert_leq(fixture.samplerCrashes(), 3, "%d engines crashed", fixture.samplerCrashes());
}

GATEWAY_TEST(fatal_requests, a_reward_request_crashes_few_engines, threeDaemons()) {
  fixture.setFatal({.mark = "score j1-0"});
  const auto handed_in = co_await fixture.call(0, fixture.scoredJobRequest("j1", 4));
  cr_assert_eq(handed_in.response.result_int(), 202U);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(10));
  cr_assert_leq(fixture.samplerCrashes(), 3, "%d engines crashed", fixture.samplerCrashes());
}

GATEWAY_TEST(fatal_requests, crashes_seen_just_after_losing_the_store_reach_the_others,
             threeDaemons()) {
  fixture.setFatal({.mark = "fatal"});
  auto* silent = new test::StandinStore(fixture.loop());
  silent->faults().silent = true;
  fixture.moveToStore(2, silent->address());
  co_await sendFatal(fixture, 1, 2, 1);
  // The write times out after 1.5 s, before the store is considered unreachable.
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(1900));
  const int before = fixture.samplerCrashes();
  cr_assert_eq(before, 2);
  co_await sendFatal(fixture, 2, 0, 2);
  cr_assert_eq(fixture.samplerCrashes(), before);
}
