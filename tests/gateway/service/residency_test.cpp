/// @file
/// End-to-end tests of data residency in two regions: the first gateway is in region "near", the
/// second one in "far".

#include <nlohmann/json.hpp>

#include "support/gateway_fixture.h"

using namespace linenpier;
using nlohmann::json;
using test::GatewayFixture;

namespace {

const std::string kNearOnly = R"(,"allowedRegions":["near"])";
const std::string kFarOnly = R"(,"allowedRegions":["far"])";

/// A gateway and a model engine in each region; lookup engines only in "near".
test::FixtureOptions twoRegions(const std::string& job_fields) {
  test::FixtureOptions options = test::twoGateways(4);
  options.zones = {"z", "y"};
  options.model_zones = {"z", "y"};
  options.layout = fleet::fleet_layout(
      {{ZoneName("z"), RegionName("near")}, {ZoneName("y"), RegionName("far")}});
  options.job_fields = job_fields;
  return options;
}

test::FixtureOptions threeGateways(const std::string& job_fields) {
  test::FixtureOptions options = twoRegions(job_fields);
  options.gateways = 3;
  options.zones = {"z", "y", "y"};
  return options;
}

std::string ownerOf(GatewayFixture& fixture, const std::string& job) {
  const json record = json::parse(fixture.store().get("linenpier", "job/" + job).value_or("{}"));
  const std::string owner = record.value("owner", "");
  return owner.substr(0, owner.find('#'));
}

}  // namespace

GATEWAY_TEST(homes, a_job_submitted_elsewhere_is_run_in_its_region, twoRegions(kFarOnly)) {
  const auto accepted = co_await fixture.call(0, fixture.jobRequest("job", 6));
  cr_assert_eq(accepted.response.result_int(), 202U);
  co_await fixture.readAll(0, "job");
  cr_assert_eq(ownerOf(fixture, "job"), "d1");
  cr_assert(fixture.model(0).arrivals().empty(),
            "an engine outside the allowed regions received an item");
  cr_assert_eq(fixture.model(1).arrivals().size(), 6U);
}

GATEWAY_TEST(homes, a_job_submitted_in_its_region_stays_there, twoRegions(kFarOnly)) {
  co_await fixture.call(1, fixture.jobRequest("job", 6));
  cr_assert_eq(ownerOf(fixture, "job"), "d1");
  co_await fixture.readAll(1, "job");
  cr_assert(fixture.model(0).arrivals().empty());
}

GATEWAY_TEST(homes, regions_of_route_and_tenant_both_apply,
             twoRegions(R"(,"allowedRegions":["near","far"],"public":true)")) {
  fixture.setTenants(R"([{"name":"ada","apiKeys":["k1"],"allowedRegions":["far"]}])");
  fixture.setClientKey("k1");
  fixture.putConfiguration(4);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(400));
  http::Request request = fixture.jobRequest("job", 6);
  request.set("Authorization", "Bearer k1");
  const auto accepted = co_await fixture.call(0, request);
  cr_assert_eq(accepted.response.result_int(), 202U);
  co_await fixture.readAll(0, "job");
  cr_assert_eq(ownerOf(fixture, "job"), "d1");
  cr_assert(fixture.model(0).arrivals().empty());
}

GATEWAY_TEST(homes, a_job_without_an_engine_in_its_regions_is_refused_at_once,
             twoRegions(R"(,"allowedRegions":["elsewhere"])")) {
  const Instant begun = steadyNow();
  const auto refused = co_await fixture.call(0, fixture.jobRequest("job", 4));
  cr_assert_eq(refused.response.result_int(), 503U);
  cr_assert(!http::fieldText(refused.response, "Retry-After").empty());
  cr_assert(steadyNow() - begun < std::chrono::milliseconds(500));
  cr_assert(!fixture.store().get("linenpier", "job/job").has_value());
}

GATEWAY_TEST(homes, a_request_without_an_engine_in_its_regions_is_refused_at_once, twoRegions("")) {
  fixture.putConfiguration(
      4, R"(,{"name":"bound","host":"h.example","pathPrefix":"/bound/","kind":"idempotent",
         "timeoutMs":1200,"targetLatencyMs":150,"service":"desk","maxAttempts":2,
         "allowedRegions":["far"]})");
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(400));
  const Instant begun = steadyNow();
  const auto refused = co_await fixture.call(0, fixture.lookupRequest("r", "/bound/1"));
  cr_assert_eq(refused.response.result_int(), 503U);
  cr_assert(!http::fieldText(refused.response, "Retry-After").empty());
  cr_assert(steadyNow() - begun < std::chrono::milliseconds(500));
  cr_assert(fixture.lookup(0).arrivals().empty() && fixture.lookup(1).arrivals().empty());
}

GATEWAY_TEST(homes, a_dead_owner_is_replaced_by_a_daemon_in_the_same_region,
             threeGateways(kFarOnly)) {
  fixture.model(1).setEventGap(std::chrono::milliseconds(300));
  co_await fixture.call(0, fixture.jobRequest("job", 4));
  const bool owned =
      co_await fixture.waitFor([&fixture] { return !ownerOf(fixture, "job").empty(); });
  cr_assert(owned);
  const std::string first = ownerOf(fixture, "job");
  fixture.cutFromStore(first == "d1" ? 1 : 2);
  const std::string second = first == "d1" ? "d2" : "d1";
  const std::function<bool()> followed = [&fixture, &second] {
    return ownerOf(fixture, "job") == second;
  };
  const bool taken = co_await fixture.waitFor(followed);
  cr_assert(taken);
  co_await fixture.readAll(0, "job");
  cr_assert(fixture.model(0).arrivals().empty());
}

GATEWAY_TEST(homes, a_job_waits_until_a_daemon_in_its_region_is_available, twoRegions(kFarOnly)) {
  fixture.model(1).setEventGap(std::chrono::milliseconds(400));
  co_await fixture.call(0, fixture.jobRequest("job", 4));
  const bool owned =
      co_await fixture.waitFor([&fixture] { return ownerOf(fixture, "job") == "d1"; });
  cr_assert(owned);
  fixture.cutFromStore(1);
  bool reported = false;
  const Instant deadline = steadyNow() + std::chrono::seconds(8);
  while (!reported && steadyNow() < deadline) {
    co_await sleepFor(fixture.loop(), std::chrono::milliseconds(200));
    const std::string page = co_await fixture.metricsPage(0);
    reported = page.find("linenpier_jobs_waiting_for_home 1") != std::string::npos;
  }
  cr_assert(reported);
  cr_assert_eq(ownerOf(fixture, "job"), "d1",
               "a daemon outside the allowed regions took over the job");
  cr_assert(fixture.model(0).arrivals().empty());
  fixture.reconnectToStore(1);
  co_await fixture.readAll(0, "job");
  cr_assert(fixture.model(0).arrivals().empty());
}

GATEWAY_TEST(homes, an_owner_outside_the_changed_regions_releases_the_job, twoRegions(kNearOnly)) {
  fixture.model(0).setEventGap(std::chrono::milliseconds(500));
  co_await fixture.call(0, fixture.jobRequest("job", 4));
  const bool running =
      co_await fixture.waitFor([&fixture] { return fixture.model(0).arrivals().size() == 4; });
  cr_assert(running);
  cr_assert_eq(ownerOf(fixture, "job"), "d0");
  fixture.setRouteFields(kFarOnly);
  fixture.putConfiguration(4);
  const bool moved =
      co_await fixture.waitFor([&fixture] { return ownerOf(fixture, "job") == "d1"; });
  cr_assert(moved);
  co_await fixture.readAll(0, "job");
  cr_assert_eq(fixture.model(0).arrivals().size(), 4U,
               "an item was sent to a region that is no longer allowed");
  cr_assert_eq(fixture.model(1).arrivals().size(), 4U);
}

GATEWAY_TEST(homes, a_job_is_owned_in_the_regions_of_its_reward_route, twoRegions("")) {
  fixture.setRouteFields("", kFarOnly);
  fixture.putConfiguration(4);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(400));
  fixture.lookup(0).setZone("y");
  fixture.putSamplers();
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(800));
  const auto accepted = co_await fixture.call(0, fixture.scoredJobRequest("job", 6));
  cr_assert_eq(accepted.response.result_int(), 202U);
  co_await fixture.readAll(0, "job");
  cr_assert_eq(ownerOf(fixture, "job"), "d1");
  cr_assert_eq(fixture.lookup(0).arrivals().size(), 6U);
  cr_assert(fixture.lookup(1).arrivals().empty(),
            "an engine outside the allowed regions received a reward request");
}
