/// @file
/// End-to-end tests of step jobs: results are stored as they finish and released to readers
/// together.

#include <nlohmann/json.hpp>

#include "support/gateway_fixture.h"

using namespace linenpier;
using nlohmann::json;
using test::GatewayFixture;
using test::twoGateways;

namespace {

constexpr int kItems = 8;
constexpr int kEvents = 40;

/// A job whose results are released once all of its groups are complete.
http::Request stepRequest(GatewayFixture& fixture, const std::string& id) {
  http::Request request = fixture.jobRequest(id, kItems);
  json document = json::parse(request.body());
  document["step"] = 0;
  document["desired"] = kItems / 2;
  request.body() = document.dump();
  request.prepare_payload();
  return request;
}

http::Request readRequest(const std::string& id) {
  http::Request request(boost::beast::http::verb::get, "/linenpier/lots/" + id + "?afterRev=0", 11);
  request.set("Host", "h.example");
  request.set("Wait-Ms", "50");
  return request;
}

std::size_t storedResults(GatewayFixture& fixture) {
  return fixture.store().keys("results").size();
}

/// Makes the second engine much slower than the first one.
void makeOneEngineSlow(GatewayFixture& fixture) {
  fixture.model(0).setEventGap(std::chrono::milliseconds(5));
  fixture.model(1).setEventGap(std::chrono::milliseconds(60));
}

}  // namespace

GATEWAY_TEST(release, results_of_a_step_are_stored_early_and_released_together,
             twoGateways(kEvents)) {
  makeOneEngineSlow(fixture);
  co_await fixture.call(0, stepRequest(fixture, "job"));
  const bool stored = co_await fixture.waitFor([&fixture] { return storedResults(fixture) > 0; });
  cr_assert(stored);
  cr_assert_lt(storedResults(fixture), static_cast<std::size_t>(kItems));
  for (std::size_t gateway = 0; gateway < 2; ++gateway) {
    const auto page = co_await fixture.call(gateway, readRequest("job"));
    cr_assert_eq(page.response.result_int(), 200U);
    cr_assert_eq(json::parse(page.response.body())["results"].size(), 0U,
                 "unreleased results were listed");
  }
  const std::string results = co_await fixture.readAll(1, "job");
  cr_assert_eq(std::count(results.begin(), results.end(), '\n'), kItems);
  const auto again = co_await fixture.call(0, readRequest("job"));
  cr_assert_eq(json::parse(again.response.body())["results"].size(),
               static_cast<std::size_t>(kItems));
}

GATEWAY_TEST(release, unreleased_results_are_not_generated_again_by_the_next_owner,
             twoGateways(kEvents)) {
  makeOneEngineSlow(fixture);
  co_await fixture.call(0, stepRequest(fixture, "job"));
  const bool stored = co_await fixture.waitFor([&fixture] { return storedResults(fixture) > 0; });
  cr_assert(stored);
  std::vector<std::string> finished;
  for (const auto& arrival : fixture.model(0).arrivals())
    finished.push_back(arrival.fields.at("request-id"));
  fixture.cutFromStore(0);
  const std::string results = co_await fixture.readAll(1, "job");
  cr_assert_eq(std::count(results.begin(), results.end(), '\n'), kItems);
  const std::size_t listed_early = storedResults(fixture);
  cr_assert_eq(listed_early, static_cast<std::size_t>(kItems));
  int again = 0;
  for (const auto& arrival : fixture.model(0).arrivals()) {
    const std::string& id = arrival.fields.at("request-id");
    const bool known = std::count(finished.begin(), finished.end(), id) > 0;
    again += known && !arrival.fields.contains("last-event-id") ? 1 : 0;
  }
  cr_assert_eq(again, static_cast<int>(finished.size()), "a finished item ran again");
}

GATEWAY_TEST(release, a_release_without_a_response_is_recognized, twoGateways(kEvents)) {
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setEventGap(std::chrono::milliseconds(5));
  co_await fixture.call(0, stepRequest(fixture, "job"));
  // Includes the writes of lease renewals and checkpoints.
  fixture.store().faults().lose_writes = 6;
  const std::string first = co_await fixture.readAll(1, "job");
  const std::string second = co_await fixture.readAll(0, "job");
  cr_assert_eq(first, second);
  cr_assert_eq(std::count(first.begin(), first.end(), '\n'), kItems);
}

GATEWAY_TEST(release, results_are_stored_as_soon_as_a_silent_store_responds_again,
             twoGateways(kEvents)) {
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setEventGap(std::chrono::milliseconds(5));
  co_await fixture.call(0, stepRequest(fixture, "job"));
  fixture.store().faults().silent = true;
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(2600));
  fixture.store().faults().silent = false;
  const bool stored = co_await fixture.waitFor(
      [&fixture] { return storedResults(fixture) == static_cast<std::size_t>(kItems); },
      std::chrono::milliseconds(500));
  cr_assert(stored, "a pending write without a response delays the results");
}

GATEWAY_TEST(release, a_job_is_accepted_as_soon_as_the_store_responds_again, twoGateways(kEvents)) {
  fixture.store().faults().hang_feeds = true;
  const bool lost = co_await fixture.waitFor(
      [&fixture] { return !fixture.gateway(1).storeReachable(); }, std::chrono::seconds(6));
  cr_assert(lost);
  const auto accepted = co_await fixture.call(1, stepRequest(fixture, "job"));
  cr_assert_eq(accepted.response.result_int(), 202U,
               "the store accepts writes although its feeds hang");
}
