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
constexpr int kMostEnded = 6;
constexpr Duration kBetweenTries = std::chrono::milliseconds(150);

test::FixtureOptions threeDaemons() {
  test::FixtureOptions options;
  options.gateways = 3;
  options.lookup_samplers = 4;
  options.model_samplers = 4;
  return options;
}

/// The same request as every other that this makes, under an id of its own.
http::Request fatalLookup(GatewayFixture& fixture, int number) {
  http::Request request = fixture.lookupRequest("f" + std::to_string(number));
  request.body() = "fatal";
  request.prepare_payload();
  return request;
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
  cr_assert_leq(fixture.samplersEnded(), kMostEnded, "%d engines ended", fixture.samplersEnded());
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
  cr_assert_leq(fixture.samplersEnded(), kMostEnded, "%d engines ended", fixture.samplersEnded());
  http::Request read(boost::beast::http::verb::get, "/linenpier/lots/j1?afterRev=0", 11);
  read.set("Host", "h.example");
  const auto listed = co_await fixture.call(1, std::move(read));
  cr_assert_neq(listed.response.body().find("\"nextToken\":3"), std::string::npos,
                "the three other items: %s", listed.response.body().c_str());
}
