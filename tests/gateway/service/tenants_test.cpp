/// @file
/// End-to-end tests of tenants and their API keys.

#include <nlohmann/json.hpp>

#include "support/gateway_fixture.h"

using namespace linenpier;
using test::GatewayFixture;
using test::SamplerArrival;

namespace {

constexpr char kTwoTenants[] =
    R"([{"name":"ada","apiKeys":["key-a1","key-a2"]},{"name":"bob","apiKeys":["key-b1"]}])";
constexpr char kAdaKeysRotated[] =
    R"([{"name":"ada","apiKeys":["key-a2","key-a3"]},{"name":"bob","apiKeys":["key-b1"]}])";

test::FixtureOptions withTenants(int gateways) {
  test::FixtureOptions options;
  options.gateways = gateways;
  options.tenants = kTwoTenants;
  return options;
}

http::Request withKey(http::Request request, const std::string& key) {
  request.set("Authorization", "Bearer " + key);
  return request;
}

http::Request readRequest(const std::string& id) {
  http::Request request(boost::beast::http::verb::get, "/linenpier/lots/" + id + "?afterRev=0", 11);
  request.set("Host", "h.example");
  return request;
}

std::vector<SamplerArrival> arrivalsAt(const test::StandinSampler& one,
                                       const test::StandinSampler& other) {
  std::vector<SamplerArrival> all = one.arrivals();
  all.insert(all.end(), other.arrivals().begin(), other.arrivals().end());
  return all;
}

std::vector<SamplerArrival> lookupArrivals(GatewayFixture& fixture) {
  return arrivalsAt(fixture.lookup(0), fixture.lookup(1));
}

std::vector<SamplerArrival> modelArrivals(GatewayFixture& fixture) {
  return arrivalsAt(fixture.model(0), fixture.model(1));
}

/// Checks that each request to an engine has the tenant id and no API key.
void assertTenant(const std::vector<SamplerArrival>& arrivals, const std::string& tenant) {
  cr_assert_not(arrivals.empty());
  for (const SamplerArrival& arrival : arrivals) {
    cr_assert_eq(arrival.fields.count("authorization"), 0U);
    cr_assert_eq(arrival.fields.at("tenant-id"), tenant);
  }
}

Task<unsigned> callForStatus(GatewayFixture& fixture, std::size_t gateway, http::Request request) {
  const auto outcome = co_await fixture.call(gateway, std::move(request));
  co_return outcome.response.result_int();
}

}  // namespace

GATEWAY_TEST(tenants, an_engine_gets_the_tenant_id_and_never_the_key, withTenants(1)) {
  http::Request request = withKey(fixture.lookupRequest("r1"), "key-a2");
  request.set("Tenant-Id", "bob");
  const unsigned status = co_await callForStatus(fixture, 0, std::move(request));
  cr_assert_eq(status, 200U);
  assertTenant(lookupArrivals(fixture), "ada");
}

GATEWAY_TEST(tenants, a_missing_or_unknown_key_is_refused_at_once_with_a_challenge,
             withTenants(1)) {
  auto outcome = co_await fixture.call(0, fixture.lookupRequest("r1"));
  cr_assert_eq(outcome.response.result_int(), 401U);
  cr_assert_eq(http::fieldText(outcome.response, "WWW-Authenticate"), "Bearer realm=\"linenpier\"");
  outcome = co_await fixture.call(0, withKey(fixture.lookupRequest("r2"), "key-x"));
  cr_assert_eq(outcome.response.result_int(), 401U);
  cr_assert(http::fieldText(outcome.response, "WWW-Authenticate").ends_with("\"invalid_token\""));
  cr_assert(lookupArrivals(fixture).empty());
}

GATEWAY_TEST(tenants, a_public_route_needs_no_key, withTenants(1)) {
  http::Request request = fixture.lookupRequest("r1", "/open/1");
  request.set("Tenant-Id", "bob");
  const unsigned status = co_await callForStatus(fixture, 0, std::move(request));
  cr_assert_eq(status, 200U);
  cr_assert_eq(lookupArrivals(fixture).size(), 1U);
  cr_assert_eq(lookupArrivals(fixture)[0].fields.count("tenant-id"), 0U);
}

GATEWAY_TEST(tenants, a_job_belongs_to_its_tenant_at_every_daemon_and_with_every_key,
             withTenants(2)) {
  const unsigned taken =
      co_await callForStatus(fixture, 0, withKey(fixture.jobRequest("j1", 4), "key-a1"));
  cr_assert_eq(taken, 202U);
  const unsigned again =
      co_await callForStatus(fixture, 1, withKey(fixture.jobRequest("j1", 4), "key-a2"));
  cr_assert_eq(again, 202U);
  const unsigned others =
      co_await callForStatus(fixture, 1, withKey(fixture.jobRequest("j1", 4), "key-b1"));
  cr_assert_eq(others, 409U);
  for (std::size_t gateway = 0; gateway < 2; ++gateway) {
    const unsigned own =
        co_await callForStatus(fixture, gateway, withKey(readRequest("j1"), "key-a2"));
    cr_assert_eq(own, 200U);
    const unsigned other =
        co_await callForStatus(fixture, gateway, withKey(readRequest("j1"), "key-b1"));
    cr_assert_eq(other, 404U);
    const unsigned none =
        co_await callForStatus(fixture, gateway, withKey(readRequest("j0"), "key-b1"));
    cr_assert_eq(none, 404U);
    const unsigned nobody = co_await callForStatus(fixture, gateway, readRequest("j1"));
    cr_assert_eq(nobody, 401U);
    const unsigned ended =
        co_await callForStatus(fixture, gateway, withKey(test::endRequest("j1"), "key-b1"));
    cr_assert_eq(ended, 404U);
    http::Request body(boost::beast::http::verb::get, "/linenpier/items/j1?id=j1-0", 11);
    body.set("Host", "h.example");
    const unsigned item = co_await callForStatus(fixture, gateway, withKey(body, "key-b1"));
    cr_assert_eq(item, 404U);
    const unsigned own_item = co_await callForStatus(fixture, gateway, withKey(body, "key-a1"));
    cr_assert_eq(own_item, 200U);
  }
  assertTenant(modelArrivals(fixture), "ada");
  const unsigned ended =
      co_await callForStatus(fixture, 1, withKey(test::endRequest("j1"), "key-a2"));
  cr_assert_eq(ended, 200U);
  const unsigned repeated =
      co_await callForStatus(fixture, 0, withKey(test::endRequest("j1"), "key-a1"));
  cr_assert_eq(repeated, 200U);
}

GATEWAY_TEST(tenants, a_gateway_without_a_configuration_denies_job_access_without_a_key,
             withTenants(1)) {
  const unsigned taken =
      co_await callForStatus(fixture, 0, withKey(fixture.jobRequest("j1", 4), "key-a1"));
  cr_assert_eq(taken, 202U);
  fixture.store().remove("op", "config");
  fixture.addGateway("late");
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(500));
  cr_assert_not(fixture.gateway(1).ready());
  const unsigned nobody = co_await callForStatus(fixture, 1, readRequest("j1"));
  cr_assert_eq(nobody, 503U, "without a configuration it is unknown whether a key is required, %u",
               nobody);
  const unsigned ended = co_await callForStatus(fixture, 1, test::endRequest("j1"));
  cr_assert_eq(ended, 503U, "%u", ended);
}

GATEWAY_TEST(tenants, a_revoked_key_ends_no_job_and_grants_no_access, withTenants(2)) {
  fixture.model(0).setEventGap(std::chrono::milliseconds(80));
  fixture.model(1).setEventGap(std::chrono::milliseconds(80));
  http::Request job = withKey(fixture.jobRequest("j1", 24), "key-a1");
  const unsigned taken = co_await callForStatus(fixture, 0, std::move(job));
  cr_assert_eq(taken, 202U);
  fixture.setTenants(kAdaKeysRotated);
  fixture.putConfiguration(7);
  for (std::size_t gateway = 0; gateway < 2; ++gateway) {
    bool revoked = false;
    for (int tries = 0; tries < 100 && !revoked; ++tries) {
      const unsigned status =
          co_await callForStatus(fixture, gateway, withKey(readRequest("j1"), "key-a1"));
      revoked = status == 401;
      co_await sleepFor(fixture.loop(), std::chrono::milliseconds(20));
    }
    cr_assert(revoked);
    const unsigned added =
        co_await callForStatus(fixture, gateway, withKey(readRequest("j1"), "key-a3"));
    cr_assert_eq(added, 200U);
  }
  fixture.setClientKey("key-a3");
  const std::string results = co_await fixture.readAll(1, "j1");
  cr_assert_neq(results.find("j1-23"), std::string::npos);
  assertTenant(modelArrivals(fixture), "ada");
}

GATEWAY_TEST(tenants, a_daemon_without_the_store_learns_of_changed_keys_from_others,
             withTenants(2)) {
  fixture.cutFromStore(1);
  fixture.setTenants(kAdaKeysRotated);
  fixture.putConfiguration(7);
  bool revoked = false;
  unsigned status = 0;
  const Instant deadline = steadyNow() + std::chrono::seconds(5);
  for (int tries = 0; steadyNow() < deadline && !revoked; ++tries) {
    status = co_await callForStatus(
        fixture, 1, withKey(fixture.lookupRequest("r" + std::to_string(tries)), "key-a1"));
    revoked = status != 200;
    co_await sleepFor(fixture.loop(), std::chrono::milliseconds(50));
  }
  cr_assert(revoked);
  // The key may be newer than the configuration known from peers.
  cr_assert_eq(status, 503U);
  const unsigned added =
      co_await callForStatus(fixture, 1, withKey(fixture.lookupRequest("s"), "key-a3"));
  cr_assert_eq(added, 200U);
}

GATEWAY_TEST(tenants, a_peer_snapshot_contains_no_key, withTenants(1)) {
  http::ConnectionPool pool(fixture.loop(), {});
  http::Request request(boost::beast::http::verb::get, "/snapshot", 11);
  request.set("Host", "peer");
  const auto outcome =
      co_await http::call(pool, fixture.gateway().peerAddress(), std::move(request),
                          steadyNow() + std::chrono::seconds(2));
  cr_assert_eq(outcome.response.result_int(), 200U);
  cr_assert_neq(outcome.response.body().find("ada"), std::string::npos);
  cr_assert_eq(outcome.response.body().find("key-a1"), std::string::npos);
}

GATEWAY_TEST(tenants, partial_results_are_not_shared_between_tenants, withTenants(1)) {
  http::Request first = withKey(fixture.jobRequest("j1", 2), "key-a1");
  unsigned status = co_await callForStatus(fixture, 0, std::move(first));
  cr_assert_eq(status, 202U);
  fixture.setClientKey("key-a1");
  co_await fixture.readAll(0, "j1");
  const std::size_t before = modelArrivals(fixture).size();
  // The same item ids, submitted by another tenant.
  nlohmann::json same = nlohmann::json::parse(fixture.jobRequest("j1", 2).body());
  http::Request second = withKey(fixture.jobRequest("j2", 2), "key-b1");
  second.body() = same.dump();
  second.prepare_payload();
  status = co_await callForStatus(fixture, 0, std::move(second));
  cr_assert_eq(status, 202U);
  fixture.setClientKey("key-b1");
  co_await fixture.readAll(0, "j2");
  cr_assert_eq(modelArrivals(fixture).size() - before, 2U);
}

GATEWAY_TEST(tenants, refusals_are_counted_by_reason_and_no_metric_holds_a_key, withTenants(1)) {
  co_await fixture.call(0, fixture.lookupRequest("r1"));
  co_await fixture.call(0, withKey(fixture.lookupRequest("r2"), "key-x"));
  co_await fixture.call(0, withKey(fixture.lookupRequest("r3"), "key-a1"));
  http::ConnectionPool pool(fixture.loop(), {});
  http::Request request(boost::beast::http::verb::get, "/metrics", 11);
  const Address address = fixture.gateway().metricsAddress();
  const Instant deadline = steadyNow() + std::chrono::seconds(2);
  const auto outcome = co_await http::call(pool, address, std::move(request), deadline);
  const std::string& text = outcome.response.body();
  cr_assert_neq(text.find("linenpier_keys_refused_total{reason=\"missing\"} 1"), std::string::npos);
  cr_assert_neq(text.find("linenpier_keys_refused_total{reason=\"unknown\"} 1"), std::string::npos);
  cr_assert_eq(text.find("key-"), std::string::npos);
}
