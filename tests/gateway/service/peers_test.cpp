/// @file
/// End-to-end tests of daemons that get the shared state from peers while the store is unreachable.

#include "gateway/service/peer_snapshot.h"
#include "gateway/service/peer_write.h"
#include "support/gateway_fixture.h"

using namespace linenpier;
using test::GatewayFixture;
using test::StoreAct;

namespace {

/// Asks the first gateway to write a row for a peer while the store treats the write as `act` says.
/// @return the status of the gateway's response.
Task<unsigned> writeForPeer(GatewayFixture& fixture, StoreAct act) {
  const std::string key = "clocks/peer";
  fixture.store().setScript({key, {act}});
  table::Write write;
  write.transaction.puts.push_back({key, "1"});
  http::Request request(boost::beast::http::verb::post, "/write", 11);
  request.set(boost::beast::http::field::host, "peer");
  request.body() = gateway::encodeWrite(write);
  request.prepare_payload();
  http::ConnectionPool pool(fixture.loop(), {});
  const Instant deadline = steadyNow() + std::chrono::seconds(5);
  const Address peer = fixture.gateway(0).peerAddress();
  const auto outcome = co_await http::call(pool, peer, std::move(request), deadline);
  cr_assert(fixture.store().actsLeft() == 0, "the write did not reach the store");
  co_return outcome.response.result_int();
}

}  // namespace

// Guards against a peer that is told that a write was not executed although it was, or will be.
GATEWAY_TEST(peers, a_write_for_a_peer_is_refused_only_if_the_store_will_not_execute_it,
             test::FixtureOptions{}) {
  const bool ready = co_await fixture.waitReady(0);
  cr_assert(ready);
  const unsigned answered = co_await writeForPeer(fixture, StoreAct::kAnswer);
  cr_assert_eq(answered, 200U);
  const unsigned refused = co_await writeForPeer(fixture, StoreAct::kRefuse);
  cr_assert_eq(refused, 503U);
  const unsigned limited = co_await writeForPeer(fixture, StoreAct::kRateLimit);
  cr_assert_eq(limited, 503U);
  const std::vector<StoreAct> without_answer = {StoreAct::kBreakExecuted,
                                                StoreAct::kBreakExecuteLate, StoreAct::kGarble};
  for (const StoreAct act : without_answer) {
    const unsigned unknown = co_await writeForPeer(fixture, act);
    cr_assert_eq(unknown, 502U, "act %d got %u", static_cast<int>(act), unknown);
  }
}

GATEWAY_TEST(peers, a_daemon_that_starts_without_the_store_serves_from_a_peer_snapshot,
             test::FixtureOptions{}) {
  fixture.store().faults().refuse = true;
  fixture.addGateway("late");
  cr_assert(co_await fixture.waitReady(1));
  const auto outcome = co_await fixture.call(1, fixture.lookupRequest("r1"));
  cr_assert_eq(outcome.response.result_int(), 200U);
  const auto unknown = co_await fixture.call(1, fixture.lookupRequest("r2", "/nowhere/1"));
  cr_assert_eq(unknown.response.result_int(), 503U, "the peer's state may be stale");
}

GATEWAY_TEST(peers, without_store_and_peers_a_daemon_is_not_ready_and_refuses,
             test::FixtureOptions{}) {
  fixture.store().faults().refuse = true;
  fixture.gateway(0).stop();
  const auto settings = test::settingsOf(fixture.store().address(), "alone", {});
  test::GatewayUnderTest alone(fixture.loop(), settings);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(700));
  cr_assert_not(alone.gateway.ready());
  http::ConnectionPool pool(fixture.loop(), {});
  const Address address = alone.gateway.requestAddress();
  const Instant deadline = steadyNow() + std::chrono::seconds(2);
  const auto outcome = co_await http::call(pool, address, fixture.lookupRequest("r"), deadline);
  cr_assert_eq(outcome.response.result_int(), 503U);
  std::quick_exit(0);
}

Test(peer_snapshot, a_snapshot_round_trips_and_invalid_input_is_rejected) {
  gateway::PeerSnapshot snapshot;
  snapshot.config_version = 7;
  snapshot.configuration = "{}";
  snapshot.zones_revision = 8;
  snapshot.closed_zones[ZoneName("north")] = 6;
  snapshot.engines_revision = 9;
  snapshot.engines.push_back({"servers/i-1", 5, "{\"x\":1}"});
  const auto read = gateway::decodeSnapshot(gateway::encodeSnapshot(snapshot));
  cr_assert_eq(read->config_version, 7U);
  cr_assert_eq(read->zones_revision, 8U);
  cr_assert_eq(read->closed_zones.at(ZoneName("north")), 6U);
  cr_assert_eq(read->engines.at(0).value, "{\"x\":1}");
  cr_assert_not(gateway::decodeSnapshot("{").has_value());
  cr_assert_not(gateway::decodeSnapshot("{\"config_version\":1}").has_value());
}

Test(peer_snapshot, a_snapshot_without_zones_does_not_reopen_zones) {
  const auto read = gateway::decodeSnapshot(
      R"({"config_version":7,"configuration":"{}","engines_revision":9,"engines":[]})");
  cr_assert(read.has_value());
  cr_assert_eq(read->zones_revision, 0U, "a missing revision must be read as 0");
}
