/// @file
/// Entries of engines that another writer spoilt, and engines that start again under their ids.

#include "support/gateway_fixture.h"

using namespace linenpier;
using test::GatewayFixture;

namespace {

/// Until a daemon that only forwards requests has heard of a change.
constexpr Duration kHeard = std::chrono::milliseconds(900);

/// @return of 20 lookups, how many were answered.
Task<int> sendLookups(GatewayFixture& fixture, std::string prefix) {
  int answered = 0;
  for (int i = 0; i < 20; ++i) {
    http::Request request = fixture.lookupRequest(prefix + std::to_string(i));
    const auto outcome = co_await fixture.call(0, std::move(request));
    if (outcome.response.result_int() == 200U) ++answered;
  }
  co_return answered;
}

}  // namespace

GATEWAY_TEST(entries, an_engine_whose_entry_is_spoilt_is_sent_nothing_and_the_others_serve,
             test::FixtureOptions{}) {
  fixture.store().put("servers", fixture.lookup(0).id(), "{\"service\":\"desk\"}");
  fixture.store().put("servers", "of-another-writer", "\xff\xfe");
  co_await sleepFor(fixture.loop(), kHeard);
  const std::size_t before = fixture.lookup(0).arrivals().size();
  const int answered = co_await sendLookups(fixture, "spoilt-");
  cr_assert_eq(answered, 20);
  cr_assert_eq(fixture.lookup(0).arrivals().size(), before);
  fixture.putSamplers();
  co_await sleepFor(fixture.loop(), kHeard);
  fixture.store().put("servers", fixture.lookup(1).id(), "7");
  co_await sleepFor(fixture.loop(), kHeard);
  const int again = co_await sendLookups(fixture, "whole-");
  cr_assert_eq(again, 20, "a whole entry names its engine again");
  cr_assert_gt(fixture.lookup(0).arrivals().size(), before);
}

GATEWAY_TEST(entries, an_engine_that_starts_again_under_its_id_is_brought_to_the_named_version,
             test::FixtureOptions{}) {
  auto& engine = fixture.model(0);
  engine.setKeepsId();
  engine.onRestart([&fixture, &engine](const std::string&) {
    fixture.store().put("servers", engine.id(), engine.entry("models"));
  });
  fixture.store().put("servers", engine.id(), engine.entry("models"));
  fixture.store().put("op", "version/m", R"({"model":"m","version":2})");
  const bool first = co_await fixture.waitFor([&engine] { return engine.version() == 2; });
  cr_assert(first);
  engine.crash();
  engine.setVersion(1);
  const bool again = co_await fixture.waitFor([&engine] { return engine.version() == 2; },
                                              std::chrono::seconds(8));
  cr_assert(again, "its orders are counted from its start");
}

GATEWAY_TEST(entries, a_daemon_that_knows_the_engines_is_told_none_of_them,
             test::FixtureOptions{}) {
  http::ConnectionPool pool(fixture.loop(), {});
  const Address peer = fixture.gateway(0).peerAddress();
  const auto ask = [&](std::string target) -> Task<gateway::PeerSnapshot> {
    http::Request request(boost::beast::http::verb::get, target, 11);
    request.set(boost::beast::http::field::host, "peer");
    const Instant deadline = steadyNow() + std::chrono::seconds(2);
    const auto outcome = co_await http::call(pool, peer, std::move(request), deadline);
    auto told = gateway::decodeSnapshot(outcome.response.body());
    cr_assert(told.has_value());
    co_return *told;
  };
  const auto all = co_await ask("/snapshot");
  cr_assert_eq(all.engines.size(), 4U, "as a daemon of an earlier build asks");
  cr_assert_not(all.configuration.empty());
  const auto known = gateway::snapshotTarget({all.config_version, all.engines_revision});
  const auto none = co_await ask(known);
  cr_assert(none.engines.empty());
  cr_assert(none.configuration.empty());
  fixture.store().remove("servers", fixture.lookup(0).id());
  co_await sleepFor(fixture.loop(), kHeard);
  const auto changed = co_await ask(known);
  cr_assert(changed.engines.empty());
  cr_assert_eq(changed.removed_engines.at(0), fixture.lookup(0).id());
  std::quick_exit(0);
}
