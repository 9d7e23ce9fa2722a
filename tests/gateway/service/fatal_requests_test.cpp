/// @file
/// A request that ends every engine that begins to run it.
///
/// What was seen: one lookup came again and again, each time with an id of its own and at another
/// daemon, and ended 18 engines of a service that had three; most lookups of others were refused
/// meanwhile, as no engine was left.
/// How it came about: each daemon put it on an engine, on a second one after half the target
/// latency, and answered 502; its caller asked another daemon, and came back with the same body.
/// Cause: what a request does to engines was known to its own attempts only, and forgotten with
/// them. What was remembered, in each daemon for itself, was held against the engines.
/// What proved it: each engine that ended had an attempt of one and the same key (tenant, host,
/// path, body) in the millisecond before, from ever other daemons; engines ended without one never.

#include "support/gateway_fixture.h"

using namespace linenpier;
using test::GatewayFixture;

namespace {

/// Engines that a request may end: the three that show what it does, and three more.
constexpr int kMaxEnded = 6;
constexpr Duration kBetweenTries = std::chrono::milliseconds(150);

test::FixtureOptions threeDaemons() {
  test::FixtureOptions options;
  options.gateways = 3;
  options.lookup_samplers = 4;
  options.model_samplers = 4;
  return options;
}

http::Request requestOf(GatewayFixture& fixture, const std::string& id, const std::string& body,
                        const std::string& path = "/look/1") {
  http::Request request = fixture.lookupRequest(id, path);
  request.body() = body;
  request.prepare_payload();
  return request;
}

/// The same request as every other that this makes, under an id of its own.
http::Request fatalLookup(GatewayFixture& fixture, int number) {
  return requestOf(fixture, "f" + std::to_string(number), "fatal");
}

/// Sends the request again and again, to the daemons in turn from `first` on.
Task<void> sendFatal(GatewayFixture& fixture, int times, std::size_t first, std::size_t daemons) {
  for (int i = 0; i < times; ++i) {
    const std::size_t daemon = first + static_cast<std::size_t>(i) % daemons;
    http::Request request = fatalLookup(fixture, i);
    co_await fixture.call(daemon, std::move(request));
    co_await sleepFor(fixture.loop(), kBetweenTries);
  }
}

}  // namespace

GATEWAY_TEST(fatal_requests, one_that_comes_again_anywhere_ends_few_engines, threeDaemons()) {
  fixture.setFatal({.mark = "fatal"});
  co_await sendFatal(fixture, 60, 0, 3);
  cr_assert_leq(fixture.samplersEnded(), kMaxEnded, "%d engines ended", fixture.samplersEnded());
}

GATEWAY_TEST(fatal_requests, one_is_known_after_all_daemons_have_started_anew, threeDaemons()) {
  fixture.setFatal({.mark = "fatal"});
  co_await sendFatal(fixture, 50, 0, 3);
  // Those that were there before are not asked any more.
  for (const char* name : {"d3", "d4", "d5"}) fixture.addGateway(name);
  for (std::size_t daemon = 3; daemon < 6; ++daemon) cr_assert(co_await fixture.waitReady(daemon));
  const int before = fixture.samplersEnded();
  co_await sendFatal(fixture, 20, 3, 3);
  cr_assert_eq(fixture.samplersEnded(), before, "%d engines more",
               fixture.samplersEnded() - before);
}

GATEWAY_TEST(fatal_requests, an_item_ends_few_engines_and_the_others_are_listed, threeDaemons()) {
  fixture.setFatal({.mark = "prompt 0"});
  const auto handed_in = co_await fixture.call(0, fixture.jobRequest("j1", 4));
  cr_assert_eq(handed_in.response.result_int(), 202U);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(12));
  cr_assert_leq(fixture.samplersEnded(), kMaxEnded, "%d engines ended", fixture.samplersEnded());
  http::Request read(boost::beast::http::verb::get, "/linenpier/lots/j1?afterRev=0", 11);
  read.set("Host", "h.example");
  const auto listed = co_await fixture.call(1, std::move(read));
  cr_assert_neq(listed.response.body().find("\"nextToken\":3"), std::string::npos,
                "the three other items: %s", listed.response.body().c_str());
}

GATEWAY_TEST(fatal_requests, one_that_comes_to_all_daemons_at_once_ends_no_more_engines,
             threeDaemons()) {
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
  cr_assert_leq(fixture.samplersEnded(), 4, "all engines, before anybody knew");
  const int before = fixture.samplersEnded();
  co_await sendFatal(fixture, 60, 0, 3);
  cr_assert_leq(fixture.samplersEnded() - before, 2, "the two that prove it");
}

GATEWAY_TEST(fatal_requests, its_caller_is_told_at_once_and_truly_when_to_come_back,
             threeDaemons()) {
  fixture.setFatal({.mark = "fatal"});
  http::Request first = fatalLookup(fixture, 0);
  const auto ran = co_await fixture.call(0, std::move(first));
  cr_assert_eq(ran.response.result_int(), 502U, "it has run: no promise");
  cr_assert_gt(std::stod(http::fieldText(ran.response, "Retry-After")), 4.0);
  // A write to the store and an answer of the feed, which gathers changes for 0.08 s.
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(200));
  const Instant begun = steadyNow();
  http::Request second = fatalLookup(fixture, 1);
  const auto refused = co_await fixture.call(1, std::move(second));
  cr_assert(steadyNow() - begun < std::chrono::milliseconds(100));
  cr_assert_eq(refused.response.result_int(), 503U, "this one has not run");
  cr_assert_gt(std::stod(http::fieldText(refused.response, "Retry-After")), 4.0);
}

GATEWAY_TEST(fatal_requests, what_stood_beside_it_is_served_after_each_end, threeDaemons()) {
  fixture.setFatal({.mark = "fatal"});
  for (int round = 0; round < 4; ++round) {
    // The same innocent request runs at every engine when all of them end.
    int served = 0;
    for (int i = 0; i < 6; ++i) {
      fixture.lookup(static_cast<std::size_t>(i % 4)).script().push_back(test::SamplerAct::kSilent);
      spawn(fixture.loop(), [&fixture, &served, i]() -> Task<void> {
        http::Request request = requestOf(fixture, "n" + std::to_string(i), "innocent");
        co_await fixture.call(static_cast<std::size_t>(i % 3), std::move(request));
        ++served;
      });
    }
    co_await sleepFor(fixture.loop(), std::chrono::milliseconds(60));
    for (std::size_t i = 0; i < 4; ++i) fixture.lookup(i).crash();
    cr_assert(co_await fixture.waitFor([&served] { return served == 6; }));
    for (std::size_t i = 0; i < 4; ++i) fixture.lookup(i).script().clear();
    co_await sleepFor(fixture.loop(), std::chrono::milliseconds(1200));
    http::Request again = requestOf(fixture, "a" + std::to_string(round), "innocent");
    const auto outcome = co_await fixture.call(0, std::move(again));
    cr_assert_eq(outcome.response.result_int(), 200U, "round %d", round);
  }
}

GATEWAY_TEST(fatal_requests, a_daemon_without_the_store_hears_of_it_from_its_peers,
             threeDaemons()) {
  fixture.setFatal({.mark = "fatal"});
  co_await sendFatal(fixture, 50, 0, 2);
  const int before = fixture.samplersEnded();
  fixture.cutFromStore(2);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(4));
  co_await sendFatal(fixture, 10, 2, 1);
  cr_assert_eq(fixture.samplersEnded(), before);
}

GATEWAY_TEST(fatal_requests, what_a_daemon_without_the_store_saw_reaches_the_others,
             threeDaemons()) {
  fixture.setFatal({.mark = "fatal"});
  fixture.cutFromStore(2);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(4));
  co_await sendFatal(fixture, 50, 2, 1);
  const int before = fixture.samplersEnded();
  cr_assert_leq(before, 4);
  co_await sendFatal(fixture, 10, 0, 2);
  cr_assert_eq(fixture.samplersEnded(), before);
}

GATEWAY_TEST(fatal_requests, with_the_store_away_each_daemon_goes_by_what_it_saw, threeDaemons()) {
  fixture.setFatal({.mark = "fatal"});
  fixture.store().faults().silent = true;
  co_await sleepFor(fixture.loop(), std::chrono::seconds(4));
  co_await sendFatal(fixture, 45, 0, 3);
  cr_assert_leq(fixture.samplersEnded(), 4 * 3, "at most what proves it, at each");
  fixture.store().faults().silent = false;
  co_await sleepFor(fixture.loop(), std::chrono::seconds(3));
  const int before = fixture.samplersEnded();
  co_await sendFatal(fixture, 20, 0, 3);
  cr_assert_leq(fixture.samplersEnded() - before, 1);
}

GATEWAY_TEST(fatal_requests, a_stream_ends_few_engines, threeDaemons()) {
  fixture.setFatal({.mark = "fatal"});
  for (int i = 0; i < 50; ++i) {
    http::Request request = requestOf(fixture, "s" + std::to_string(i), "fatal", "/talk/1");
    co_await fixture.call(static_cast<std::size_t>(i % 3), std::move(request));
    co_await sleepFor(fixture.loop(), kBetweenTries);
  }
  cr_assert_leq(fixture.samplersEnded(), 3, "%d engines ended", fixture.samplersEnded());
}

GATEWAY_TEST(fatal_requests, a_reward_request_ends_few_engines, threeDaemons()) {
  fixture.setFatal({.mark = "score j1-0"});
  const auto handed_in = co_await fixture.call(0, fixture.scoredJobRequest("j1", 4));
  cr_assert_eq(handed_in.response.result_int(), 202U);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(10));
  cr_assert_leq(fixture.samplersEnded(), 3, "%d engines ended", fixture.samplersEnded());
}

GATEWAY_TEST(fatal_requests, what_a_daemon_saw_just_after_it_was_cut_off_reaches_the_others,
             threeDaemons()) {
  fixture.setFatal({.mark = "fatal"});
  auto* silent = new test::StandinStore(fixture.loop());
  silent->faults().silent = true;
  fixture.moveToStore(2, silent->address());
  co_await sendFatal(fixture, 1, 2, 1);
  // Its write is given up after 1.5 s. The store counts as lost later than that.
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(1900));
  const int before = fixture.samplersEnded();
  cr_assert_eq(before, 2);
  co_await sendFatal(fixture, 2, 0, 2);
  cr_assert_eq(fixture.samplersEnded(), before);
}
