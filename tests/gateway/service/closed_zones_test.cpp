/// @file
/// End-to-end tests of zones that the operator closes to traffic.

#include <algorithm>

#include "gateway/http/client_exchange.h"
#include "support/gateway_fixture.h"

using namespace linenpier;
using test::GatewayFixture;

namespace {

constexpr std::size_t kNorth = 0;  ///< Index of the engines in zone "north".
constexpr std::size_t kSouth = 1;
/// Upper bound on the time a change takes to reach a gateway through its feed.
constexpr Duration kFeedDelay = std::chrono::milliseconds(700);

test::FixtureOptions longResponses() {
  test::FixtureOptions options;
  options.events = 60;
  return options;
}

test::FixtureOptions twoDaemons() {
  test::FixtureOptions options;
  options.gateways = 2;
  return options;
}

/// Registers one engine of each service in each of the two zones.
Task<void> registerInBothZones(GatewayFixture& fixture) {
  for (const std::size_t zone : {kNorth, kSouth}) {
    const char* name = zone == kNorth ? "north" : "south";
    fixture.lookup(zone).setZone(name);
    fixture.model(zone).setZone(name);
  }
  fixture.putSamplers();
  co_await sleepFor(fixture.loop(), kFeedDelay);
}

void closeZone(GatewayFixture& fixture, const std::string& zone) {
  fixture.store().put("op", "evacuate/" + zone, "{}");
}

void openZone(GatewayFixture& fixture, const std::string& zone) {
  fixture.store().remove("op", "evacuate/" + zone);
}

/// Sends lookups sequentially. @return how many were answered by an engine.
Task<int> sendLookups(GatewayFixture& fixture, std::size_t gateway, std::string prefix) {
  int answered = 0;
  for (int i = 0; i < 20; ++i) {
    http::Request request = fixture.lookupRequest(prefix + std::to_string(i));
    const auto outcome = co_await fixture.call(gateway, std::move(request));
    if (outcome.response.result_int() == 200U) ++answered;
  }
  co_return answered;
}

/// Sends 20 lookups, all of which must succeed. @return how many reached the zone's engine.
Task<std::size_t> arrivalsDuring(GatewayFixture& fixture, std::size_t gateway, std::size_t zone,
                                 std::string prefix) {
  const std::size_t before = fixture.lookup(zone).arrivals().size();
  const int answered = co_await sendLookups(fixture, gateway, prefix);
  cr_assert_eq(answered, 20);
  co_return fixture.lookup(zone).arrivals().size() - before;
}

/// @return whether the zone's lookup engine receives requests again. Retries for some seconds, as
/// an
///     engine with a higher latency is only probed once that sample is stale.
Task<bool> receivesLookups(GatewayFixture& fixture, std::size_t gateway, std::size_t zone) {
  const std::size_t before = fixture.lookup(zone).arrivals().size();
  for (int tries = 0; tries < 12; ++tries) {
    co_await sendLookups(fixture, gateway, "open" + std::to_string(tries) + "-");
    if (fixture.lookup(zone).arrivals().size() > before) co_return true;
    co_await sleepFor(fixture.loop(), std::chrono::milliseconds(500));
  }
  co_return false;
}

/// @return runs that the zone's model engine resumed from a partial result.
int countResumedRuns(GatewayFixture& fixture, std::size_t zone) {
  const auto& arrivals = fixture.model(zone).arrivals();
  return static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(), [](const auto& each) {
    return each.fields.contains("last-event-id");
  }));
}

/// @return requests to the zone's model engine for items whose ids start with `prefix`.
int countRuns(GatewayFixture& fixture, std::size_t zone, const std::string& prefix) {
  const auto& arrivals = fixture.model(zone).arrivals();
  return static_cast<int>(std::count_if(
      arrivals.begin(), arrivals.end(),
      [&prefix](const auto& each) { return each.fields.at("request-id").starts_with(prefix); }));
}

}  // namespace

GATEWAY_TEST(closed_zones, engines_of_a_closed_zone_get_no_requests_until_it_is_reopened,
             test::FixtureOptions{}) {
  co_await registerInBothZones(fixture);
  const bool before = co_await receivesLookups(fixture, 0, kNorth);
  cr_assert(before);
  closeZone(fixture, "north");
  co_await sleepFor(fixture.loop(), kFeedDelay);
  const std::size_t closed = co_await arrivalsDuring(fixture, 0, kNorth, "closed");
  cr_assert_eq(closed, 0U);
  openZone(fixture, "north");
  co_await sleepFor(fixture.loop(), kFeedDelay);
  const bool again = co_await receivesLookups(fixture, 0, kNorth);
  cr_assert(again);
}

GATEWAY_TEST(closed_zones, a_zone_that_is_closed_twice_is_reopened_once, test::FixtureOptions{}) {
  co_await registerInBothZones(fixture);
  closeZone(fixture, "north");
  closeZone(fixture, "north");
  co_await sleepFor(fixture.loop(), kFeedDelay);
  const std::size_t closed = co_await arrivalsDuring(fixture, 0, kNorth, "closed");
  cr_assert_eq(closed, 0U);
  openZone(fixture, "north");
  co_await sleepFor(fixture.loop(), kFeedDelay);
  const bool again = co_await receivesLookups(fixture, 0, kNorth);
  cr_assert(again);
}

GATEWAY_TEST(closed_zones, a_starting_daemon_knows_closed_zones_before_it_sends_requests,
             test::FixtureOptions{}) {
  co_await registerInBothZones(fixture);
  closeZone(fixture, "north");
  fixture.gateway(0).stop();
  fixture.addGateway("next");
  const bool ready = co_await fixture.waitReady(1);
  cr_assert(ready);
  const std::size_t closed = co_await arrivalsDuring(fixture, 1, kNorth, "first");
  cr_assert_eq(closed, 0U);
}

GATEWAY_TEST(closed_zones, a_daemon_that_starts_without_the_store_gets_closed_zones_from_a_peer,
             test::FixtureOptions{}) {
  co_await registerInBothZones(fixture);
  closeZone(fixture, "north");
  co_await sleepFor(fixture.loop(), kFeedDelay);
  fixture.store().faults().refuse = true;
  fixture.addGateway("late");
  const bool ready = co_await fixture.waitReady(1);
  cr_assert(ready);
  const std::size_t closed = co_await arrivalsDuring(fixture, 1, kNorth, "first");
  cr_assert_eq(closed, 0U);
}

GATEWAY_TEST(closed_zones, a_daemon_without_the_store_gets_closing_and_reopening_from_a_peer,
             twoDaemons()) {
  co_await registerInBothZones(fixture);
  fixture.cutFromStore(1);
  // Waits until the pending feed request has ended, as it would still deliver the change.
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(2800));
  closeZone(fixture, "north");
  co_await sleepFor(fixture.loop(), kFeedDelay);
  const std::size_t closed = co_await arrivalsDuring(fixture, 1, kNorth, "closed");
  cr_assert_eq(closed, 0U);
  openZone(fixture, "north");
  co_await sleepFor(fixture.loop(), kFeedDelay);
  const bool again = co_await receivesLookups(fixture, 1, kNorth);
  cr_assert(again);
}

GATEWAY_TEST(closed_zones, a_daemon_that_the_store_rate_limits_gets_closed_zones_from_a_peer,
             twoDaemons()) {
  co_await registerInBothZones(fixture);
  test::StandinStore limiting(fixture.loop());
  limiting.faults().rate_limit = true;
  fixture.moveToStore(1, limiting.address());
  // Waits until the pending feed request has ended, as it would still deliver the change.
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(2800));
  closeZone(fixture, "north");
  // The daemon queries its peers 2.8 s after its last feed response, which may be 0.8 s old.
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(2600));
  const std::size_t closed = co_await arrivalsDuring(fixture, 1, kNorth, "closed");
  cr_assert_eq(closed, 0U);
  std::quick_exit(0);
}

GATEWAY_TEST(closed_zones, a_zone_reopened_while_the_feed_is_lost_is_open_afterwards,
             test::FixtureOptions{}) {
  co_await registerInBothZones(fixture);
  closeZone(fixture, "north");
  co_await sleepFor(fixture.loop(), kFeedDelay);
  fixture.store().faults().refuse = true;
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(2600));
  openZone(fixture, "north");
  const std::size_t away = co_await arrivalsDuring(fixture, 0, kNorth, "away");
  cr_assert_eq(away, 0U, "the reopening has not been reported yet");
  fixture.store().faults().forget_history = true;
  fixture.store().faults().refuse = false;
  co_await sleepFor(fixture.loop(), std::chrono::seconds(2));
  const bool again = co_await receivesLookups(fixture, 0, kNorth);
  cr_assert(again);
}

GATEWAY_TEST(closed_zones, without_another_zone_requests_are_refused_at_once_and_items_wait,
             test::FixtureOptions{}) {
  co_await registerInBothZones(fixture);
  closeZone(fixture, "north");
  closeZone(fixture, "south");
  co_await sleepFor(fixture.loop(), kFeedDelay);
  const Instant begun = steadyNow();
  const auto refused = co_await fixture.call(0, fixture.lookupRequest("refused"));
  cr_assert_eq(refused.response.result_int(), 503U);
  cr_assert_eq(http::fieldText(refused.response, "Retry-After"), "1.00");
  cr_assert(steadyNow() - begun < std::chrono::milliseconds(300));
  const auto accepted = co_await fixture.call(0, fixture.jobRequest("job", 4));
  cr_assert_eq(accepted.response.result_int(), 202U);
  co_await sleepFor(fixture.loop(), kFeedDelay);
  cr_assert(fixture.model(kNorth).arrivals().empty() && fixture.model(kSouth).arrivals().empty());
  openZone(fixture, "south");
  const std::string results = co_await fixture.readAll(0, "job");
  cr_assert_neq(results.find("completed"), std::string::npos);
  cr_assert(fixture.model(kNorth).arrivals().empty());
}

GATEWAY_TEST(closed_zones, runs_move_with_their_partial_results, longResponses()) {
  co_await registerInBothZones(fixture);
  // The first job trains the length estimator.
  co_await fixture.call(0, fixture.jobRequest("first", 4));
  co_await fixture.readAll(0, "first");
  for (const std::size_t zone : {kNorth, kSouth})
    fixture.model(zone).setEventGap(std::chrono::milliseconds(80));
  co_await fixture.call(0, fixture.jobRequest("job", 6));
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(800));
  // Items are distributed at random: close the zone that got more of them.
  const bool more_north = countRuns(fixture, kNorth, "job-") >= countRuns(fixture, kSouth, "job-");
  const std::size_t left_zone = more_north ? kNorth : kSouth;
  const std::size_t other_zone = more_north ? kSouth : kNorth;
  const int runs = countRuns(fixture, left_zone, "job-");
  cr_assert_geq(runs, 3);
  closeZone(fixture, more_north ? "north" : "south");
  const bool left = co_await fixture.waitFor(
      [&fixture, other_zone, runs] { return countResumedRuns(fixture, other_zone) == runs; },
      std::chrono::milliseconds(3000));
  cr_assert(left);
  const std::string results = co_await fixture.readAll(0, "job");
  cr_assert_eq(countRuns(fixture, left_zone, "job-"), runs);
  cr_assert_eq(countResumedRuns(fixture, other_zone), runs);
  cr_assert_eq(results.find("terminated"), std::string::npos);
}

GATEWAY_TEST(closed_zones, version_orders_skip_engines_of_a_closed_zone, test::FixtureOptions{}) {
  co_await registerInBothZones(fixture);
  closeZone(fixture, "north");
  co_await sleepFor(fixture.loop(), kFeedDelay);
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
