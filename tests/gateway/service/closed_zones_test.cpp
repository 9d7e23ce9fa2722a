/// @file
/// Zones that the operator closes for their engines, through whole gateways.

#include <algorithm>

#include "gateway/http/client_exchange.h"
#include "support/gateway_fixture.h"

using namespace linenpier;
using test::GatewayFixture;

namespace {

constexpr std::size_t kNorth = 0;  ///< Index of the engines of that zone.
constexpr std::size_t kSouth = 1;
/// Feeds tell within some ms.
constexpr Duration kHeard = std::chrono::milliseconds(700);

test::FixtureOptions longTexts() {
  test::FixtureOptions options;
  options.events = 60;
  return options;
}

test::FixtureOptions twoDaemons() {
  test::FixtureOptions options;
  options.gateways = 2;
  return options;
}

/// Puts one engine of each service into each of two zones.
Task<void> spreadOverZones(GatewayFixture& fixture) {
  for (const std::size_t zone : {kNorth, kSouth}) {
    const char* name = zone == kNorth ? "north" : "south";
    fixture.lookup(zone).setZone(name);
    fixture.model(zone).setZone(name);
  }
  fixture.putSamplers();
  co_await sleepFor(fixture.loop(), kHeard);
}

void closeZone(GatewayFixture& fixture, const std::string& zone) {
  fixture.store().put("op", "evacuate/" + zone, "{}");
}

void openZone(GatewayFixture& fixture, const std::string& zone) {
  fixture.store().remove("op", "evacuate/" + zone);
}

/// Sends lookups one after the other. @return how many were answered by an engine.
Task<int> sendLookups(GatewayFixture& fixture, std::size_t gateway, std::string prefix) {
  int answered = 0;
  for (int i = 0; i < 20; ++i) {
    http::Request request = fixture.lookupRequest(prefix + std::to_string(i));
    const auto outcome = co_await fixture.call(gateway, std::move(request));
    if (outcome.response.result_int() == 200U) ++answered;
  }
  co_return answered;
}

/// @return arrivals at the zone's lookup engine during 20 lookups, all of which must be answered.
Task<std::size_t> arrivalsDuring(GatewayFixture& fixture, std::size_t gateway, std::size_t zone,
                                 std::string prefix) {
  const std::size_t before = fixture.lookup(zone).arrivals().size();
  const int answered = co_await sendLookups(fixture, gateway, prefix);
  cr_assert_eq(answered, 20);
  co_return fixture.lookup(zone).arrivals().size() - before;
}

/// @return whether the zone's lookup engine gets lookups again: one that was slower is tried anew
///     once that is some seconds old.
Task<bool> isReached(GatewayFixture& fixture, std::size_t gateway, std::size_t zone) {
  const std::size_t before = fixture.lookup(zone).arrivals().size();
  for (int tries = 0; tries < 12; ++tries) {
    co_await sendLookups(fixture, gateway, "open" + std::to_string(tries) + "-");
    if (fixture.lookup(zone).arrivals().size() > before) co_return true;
    co_await sleepFor(fixture.loop(), std::chrono::milliseconds(500));
  }
  co_return false;
}

/// @return runs that went on from their text at the zone's model engine.
int resumedRuns(GatewayFixture& fixture, std::size_t zone) {
  const auto& arrivals = fixture.model(zone).arrivals();
  return static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(), [](const auto& each) {
    return each.fields.contains("last-event-id");
  }));
}

/// @return requests that the zone's model engine got for items whose ids begin so.
int runsBegun(GatewayFixture& fixture, std::size_t zone, const std::string& prefix) {
  const auto& arrivals = fixture.model(zone).arrivals();
  return static_cast<int>(std::count_if(
      arrivals.begin(), arrivals.end(),
      [&prefix](const auto& each) { return each.fields.at("request-id").starts_with(prefix); }));
}

}  // namespace

GATEWAY_TEST(closed_zones, engines_of_a_zone_get_nothing_from_its_closing_until_it_is_taken_back,
             test::FixtureOptions{}) {
  co_await spreadOverZones(fixture);
  const bool before = co_await isReached(fixture, 0, kNorth);
  cr_assert(before);
  closeZone(fixture, "north");
  co_await sleepFor(fixture.loop(), kHeard);
  const std::size_t closed = co_await arrivalsDuring(fixture, 0, kNorth, "closed");
  cr_assert_eq(closed, 0U);
  openZone(fixture, "north");
  co_await sleepFor(fixture.loop(), kHeard);
  const bool again = co_await isReached(fixture, 0, kNorth);
  cr_assert(again);
}

GATEWAY_TEST(closed_zones, a_closing_that_is_sent_twice_is_taken_back_once,
             test::FixtureOptions{}) {
  co_await spreadOverZones(fixture);
  closeZone(fixture, "north");
  closeZone(fixture, "north");
  co_await sleepFor(fixture.loop(), kHeard);
  const std::size_t closed = co_await arrivalsDuring(fixture, 0, kNorth, "closed");
  cr_assert_eq(closed, 0U);
  openZone(fixture, "north");
  co_await sleepFor(fixture.loop(), kHeard);
  const bool again = co_await isReached(fixture, 0, kNorth);
  cr_assert(again);
}

GATEWAY_TEST(closed_zones, a_daemon_that_starts_knows_them_before_it_sends,
             test::FixtureOptions{}) {
  co_await spreadOverZones(fixture);
  closeZone(fixture, "north");
  fixture.gateway(0).stop();
  fixture.addGateway("next");
  const bool ready = co_await fixture.waitReady(1);
  cr_assert(ready);
  const std::size_t closed = co_await arrivalsDuring(fixture, 1, kNorth, "first");
  cr_assert_eq(closed, 0U);
}

GATEWAY_TEST(closed_zones, a_daemon_that_starts_without_the_store_is_told_by_a_peer,
             test::FixtureOptions{}) {
  co_await spreadOverZones(fixture);
  closeZone(fixture, "north");
  co_await sleepFor(fixture.loop(), kHeard);
  fixture.store().faults().refuse = true;
  fixture.addGateway("late");
  const bool ready = co_await fixture.waitReady(1);
  cr_assert(ready);
  const std::size_t closed = co_await arrivalsDuring(fixture, 1, kNorth, "first");
  cr_assert_eq(closed, 0U);
}

GATEWAY_TEST(closed_zones, a_daemon_that_the_store_turns_away_hears_of_both_from_a_peer,
             twoDaemons()) {
  co_await spreadOverZones(fixture);
  fixture.cutFromStore(1);
  // Its feed, which waits at the store, would still tell.
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(2800));
  closeZone(fixture, "north");
  co_await sleepFor(fixture.loop(), kHeard);
  const std::size_t closed = co_await arrivalsDuring(fixture, 1, kNorth, "closed");
  cr_assert_eq(closed, 0U);
  openZone(fixture, "north");
  co_await sleepFor(fixture.loop(), kHeard);
  const bool again = co_await isReached(fixture, 1, kNorth);
  cr_assert(again);
}

GATEWAY_TEST(closed_zones, a_daemon_whose_calls_the_store_limits_hears_of_them_from_a_peer,
             twoDaemons()) {
  co_await spreadOverZones(fixture);
  test::StandinStore limiting(fixture.loop());
  limiting.faults().rate_limit = true;
  fixture.moveToStore(1, limiting.address());
  // Its feed, which waits at the other store, would still tell.
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(2800));
  closeZone(fixture, "north");
  // Its last answer may be 0.8 s old by now; 2.8 s after it the daemon asks its peers.
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(2600));
  const std::size_t closed = co_await arrivalsDuring(fixture, 1, kNorth, "closed");
  cr_assert_eq(closed, 0U);
  std::quick_exit(0);
}

GATEWAY_TEST(closed_zones, one_that_is_taken_back_while_the_feed_is_lost_is_open_afterwards,
             test::FixtureOptions{}) {
  co_await spreadOverZones(fixture);
  closeZone(fixture, "north");
  co_await sleepFor(fixture.loop(), kHeard);
  fixture.store().faults().refuse = true;
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(2600));
  openZone(fixture, "north");
  const std::size_t away = co_await arrivalsDuring(fixture, 0, kNorth, "away");
  cr_assert_eq(away, 0U, "nobody has told that it is open");
  fixture.store().faults().forget_history = true;
  fixture.store().faults().refuse = false;
  co_await sleepFor(fixture.loop(), std::chrono::seconds(2));
  const bool again = co_await isReached(fixture, 0, kNorth);
  cr_assert(again);
}

GATEWAY_TEST(closed_zones, without_another_zone_requests_are_refused_at_once_and_items_wait,
             test::FixtureOptions{}) {
  co_await spreadOverZones(fixture);
  closeZone(fixture, "north");
  closeZone(fixture, "south");
  co_await sleepFor(fixture.loop(), kHeard);
  const Instant begun = steadyNow();
  const auto refused = co_await fixture.call(0, fixture.lookupRequest("refused"));
  cr_assert_eq(refused.response.result_int(), 503U);
  cr_assert_eq(http::fieldText(refused.response, "Retry-After"), "1.00");
  cr_assert(steadyNow() - begun < std::chrono::milliseconds(300));
  const auto accepted = co_await fixture.call(0, fixture.jobRequest("job", 4));
  cr_assert_eq(accepted.response.result_int(), 202U);
  co_await sleepFor(fixture.loop(), kHeard);
  cr_assert(fixture.model(kNorth).arrivals().empty() && fixture.model(kSouth).arrivals().empty());
  openZone(fixture, "south");
  const std::string results = co_await fixture.readAll(0, "job");
  cr_assert_neq(results.find("completed"), std::string::npos);
  cr_assert(fixture.model(kNorth).arrivals().empty());
}

GATEWAY_TEST(closed_zones, runs_leave_with_their_text, longTexts()) {
  co_await spreadOverZones(fixture);
  // From a first job it is learnt how long such texts are.
  co_await fixture.call(0, fixture.jobRequest("first", 4));
  co_await fixture.readAll(0, "first");
  for (const std::size_t zone : {kNorth, kSouth})
    fixture.model(zone).setEventGap(std::chrono::milliseconds(80));
  co_await fixture.call(0, fixture.jobRequest("job", 6));
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(800));
  // Which engine got how many is left to chance.
  const bool more_north = runsBegun(fixture, kNorth, "job-") >= runsBegun(fixture, kSouth, "job-");
  const std::size_t left_zone = more_north ? kNorth : kSouth;
  const std::size_t other_zone = more_north ? kSouth : kNorth;
  const int runs = runsBegun(fixture, left_zone, "job-");
  cr_assert_geq(runs, 3);
  closeZone(fixture, more_north ? "north" : "south");
  const bool left = co_await fixture.waitFor(
      [&fixture, other_zone, runs] { return resumedRuns(fixture, other_zone) == runs; },
      std::chrono::milliseconds(3000));
  cr_assert(left);
  const std::string results = co_await fixture.readAll(0, "job");
  cr_assert_eq(runsBegun(fixture, left_zone, "job-"), runs);
  cr_assert_eq(resumedRuns(fixture, other_zone), runs);
  cr_assert_eq(results.find("terminated"), std::string::npos);
}

GATEWAY_TEST(closed_zones, orders_of_versions_leave_its_engines_out_until_it_is_open,
             test::FixtureOptions{}) {
  co_await spreadOverZones(fixture);
  closeZone(fixture, "north");
  co_await sleepFor(fixture.loop(), kHeard);
  fixture.store().put("op", "version/m", R"({"model":"m","version":2})");
  const bool ordered = co_await fixture.waitFor(
      [&fixture] { return !fixture.model(kSouth).orders().empty(); }, std::chrono::seconds(9));
  cr_assert(ordered);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(1));
  cr_assert(fixture.model(kNorth).orders().empty());
  openZone(fixture, "north");
  const bool ordered_again = co_await fixture.waitFor(
      [&fixture] { return !fixture.model(kNorth).orders().empty(); }, std::chrono::seconds(9));
  cr_assert(ordered_again);
}

GATEWAY_TEST(closed_zones, a_request_is_not_sent_if_the_zone_closes_while_it_connects,
             test::FixtureOptions{}) {
  http::ConnectionPool pool(fixture.loop(), {});
  const auto exchange = std::make_shared<http::ClientExchange>(
      pool, fixture.lookup(kNorth).address(), fixture.lookupRequest("late"));
  bool closed = false;
  exchange->sendOnlyIf([&closed] { return !closed; });
  spawn(fixture.loop(), [&closed]() -> Task<void> {
    closed = true;
    co_return;
  });
  const Instant deadline = steadyNow() + std::chrono::seconds(1);
  const http::ExchangeStatus status =
      co_await exchange->start(deadline, deadline, std::nullopt, true);
  cr_assert(status == http::ExchangeStatus::kWithheld);
  cr_assert_not(exchange->sent());
  cr_assert(fixture.lookup(kNorth).arrivals().empty());
}
