/// @file
/// End-to-end tests of malformed engine entries and of engines that restart with the same id.

#include <nlohmann/json.hpp>

#include "support/gateway_fixture.h"

using namespace linenpier;
using test::GatewayFixture;

namespace {

/// Upper bound on the time a change takes to reach a gateway through its feed.
constexpr Duration kFeedDelay = std::chrono::milliseconds(900);

/// @return how many of 20 lookups succeeded.
Task<int> sendLookups(GatewayFixture& fixture, std::string prefix) {
  int answered = 0;
  for (int i = 0; i < 20; ++i) {
    http::Request request = fixture.lookupRequest(prefix + std::to_string(i));
    const auto outcome = co_await fixture.call(0, std::move(request));
    if (outcome.response.result_int() == 200U) ++answered;
  }
  co_return answered;
}

/// @return the entry with another value of a member, as JSON text.
std::string withMember(const std::string& entry, const std::string& key, const std::string& value) {
  nlohmann::json document = nlohmann::json::parse(entry);
  document.erase(key);
  const std::string rest = document.dump();
  return rest.substr(0, rest.size() - 1) + ",\"" + key + "\":" + value + "}";
}

std::string repeated(const std::string& text, int count) {
  std::string all;
  for (int i = 0; i < count; ++i) all += text;
  return all;
}

/// @return variants of an entry with one member that is very deeply nested, too large or out of
/// range. Those that are valid name an address that refuses connections.
std::vector<std::string> oddEntries(const std::string& listed) {
  const std::string entry = withMember(listed, "address", R"("127.0.0.1:1")");
  constexpr int kDepth = 20000;
  const std::string lists = repeated("[", kDepth) + repeated("]", kDepth);
  const std::string objects = repeated("{\"a\":", kDepth / 4) + "1" + repeated("}", kDepth / 4);
  return {withMember(entry, "models", lists),
          withMember(entry, "more", objects),
          lists,
          repeated("[", kDepth),
          withMember(entry, "slots", "99999999999999999999999999"),
          withMember(entry, "slots", "18446744073709551615"),
          withMember(entry, "slots", "-9223372036854775808"),
          withMember(entry, "born", "1e400"),
          withMember(entry, "coldRemainingMs", "1e308"),
          withMember(entry, "leaves_ms", "-1e308"),
          withMember(entry, "models", R"([{"name":"m","version":18446744073709551615}])"),
          withMember(entry, "address", R"("127.0.0.1:65536")"),
          withMember(entry, "address", R"("127.0.0.1:99999999999999999999")"),
          withMember(entry, "address", R"("127.0.0.1:-1")"),
          withMember(entry, "address", R"("127.0.0.1:")"),
          withMember(entry, "address", R"("999.0.0.1:80")")};
}

}  // namespace

GATEWAY_TEST(entries, an_engine_with_a_malformed_entry_gets_no_requests_and_others_serve,
             test::FixtureOptions{}) {
  fixture.store().put("servers", fixture.lookup(0).id(), "{\"service\":\"desk\"}");
  fixture.store().put("servers", "of-another-writer", "\xff\xfe");
  co_await sleepFor(fixture.loop(), kFeedDelay);
  const std::size_t before = fixture.lookup(0).arrivals().size();
  const int answered = co_await sendLookups(fixture, "malformed-");
  cr_assert_eq(answered, 20);
  cr_assert_eq(fixture.lookup(0).arrivals().size(), before);
  fixture.putSamplers();
  co_await sleepFor(fixture.loop(), kFeedDelay);
  fixture.store().put("servers", fixture.lookup(1).id(), "7");
  co_await sleepFor(fixture.loop(), kFeedDelay);
  const int again = co_await sendLookups(fixture, "restored-");
  cr_assert_eq(again, 20, "a restored entry must make its engine available again");
  cr_assert_gt(fixture.lookup(0).arrivals().size(), before);
}

// Guards against an entry of another writer that ends the process, or after which the gateway no
// longer follows the engines.
GATEWAY_TEST(entries, odd_entries_do_not_end_the_process_and_engines_are_followed,
             test::FixtureOptions{}) {
  int number = 0;
  for (const std::string& odd : oddEntries(fixture.lookup(0).entry("desk"))) {
    fixture.store().put("servers", "odd-" + std::to_string(number++), odd);
  }
  co_await sleepFor(fixture.loop(), kFeedDelay);
  for (std::size_t round = 0; round < 4; ++round) {
    test::StandinSampler& listed = fixture.lookup(round % 2);
    fixture.store().remove("servers", fixture.lookup(1 - round % 2).id());
    fixture.store().put("servers", listed.id(), listed.entry("desk"));
    co_await sleepFor(fixture.loop(), kFeedDelay);
    const std::size_t before = listed.arrivals().size();
    const std::string prefix = "round-" + std::to_string(round) + "-";
    const int answered = co_await sendLookups(fixture, prefix);
    cr_expect_eq(answered, 20, "round %zu: %d of 20", round, answered);
    cr_expect_eq(listed.arrivals().size(), before + 20);
  }
  // A gateway that starts reads all entries at once.
  fixture.addGateway("late");
  cr_assert(co_await fixture.waitReady(1));
  const auto outcome = co_await fixture.call(1, fixture.lookupRequest("at-the-late-one"));
  cr_expect_eq(outcome.response.result_int(), 200U, "got %u", outcome.response.result_int());
}

GATEWAY_TEST(entries, an_engine_that_restarts_with_the_same_id_loads_the_requested_version,
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
  cr_assert(again, "the restarted engine was not ordered to load the version");
}

GATEWAY_TEST(entries, a_daemon_with_the_current_revision_gets_no_engines, test::FixtureOptions{}) {
  http::ConnectionPool pool(fixture.loop(), {});
  const Address peer = fixture.gateway(0).peerAddress();
  const auto ask = [&](std::string target) -> Task<gateway::PeerSnapshot> {
    http::Request request(boost::beast::http::verb::get, target, 11);
    request.set(boost::beast::http::field::host, "peer");
    const Instant deadline = steadyNow() + std::chrono::seconds(2);
    const auto outcome = co_await http::call(pool, peer, std::move(request), deadline);
    auto snapshot = gateway::decodeSnapshot(outcome.response.body());
    cr_assert(snapshot.has_value());
    co_return *snapshot;
  };
  const auto all = co_await ask("/snapshot");
  cr_assert_eq(all.engines.size(), 4U,
               "a daemon of an earlier build sends no revision and must get all engines");
  cr_assert_not(all.configuration.empty());
  const auto known = gateway::snapshotTarget({all.config_version, all.engines_revision});
  const auto none = co_await ask(known);
  cr_assert(none.engines.empty());
  cr_assert(none.configuration.empty());
  fixture.store().remove("servers", fixture.lookup(0).id());
  co_await sleepFor(fixture.loop(), kFeedDelay);
  const auto changed = co_await ask(known);
  cr_assert(changed.engines.empty());
  cr_assert_eq(changed.removed_engines.at(0), fixture.lookup(0).id());
  std::quick_exit(0);
}
