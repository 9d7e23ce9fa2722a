/// @file
/// End-to-end tests of the metrics endpoint.

#include "support/gateway_fixture.h"

using namespace linenpier;
using test::GatewayFixture;

namespace {

Task<std::string> scrape(GatewayFixture& fixture) {
  http::ConnectionPool pool(fixture.loop(), {});
  http::Request request(boost::beast::http::verb::get, "/metrics", 11);
  const Address address = fixture.gateway().metricsAddress();
  const Instant deadline = steadyNow() + std::chrono::seconds(2);
  auto outcome = co_await http::call(pool, address, std::move(request), deadline);
  co_return std::move(outcome.response.body());
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

GATEWAY_TEST(metrics, a_scrape_has_requests_store_calls_engines_and_state, test::FixtureOptions{}) {
  co_await fixture.call(0, fixture.lookupRequest("r1"));
  const std::string text = co_await scrape(fixture);
  cr_assert(contains(text, "linenpier_requests_total{kind=\"idempotent\",outcome=\"answered\""));
  cr_assert(contains(text, "linenpier_request_duration_seconds_bucket"));
  cr_assert(contains(text, "linenpier_config_version 3"));
  cr_assert(contains(text, "linenpier_feed_healthy{table=\"engines\"} 1"));
  cr_assert(contains(text, "linenpier_engines{service=\"desk\",state=\"usable\"} 2"));
  cr_assert(contains(text, "linenpier_process_resident_bytes"));
  cr_assert(contains(text, "linenpier_log_lines_dropped 0"));
}

GATEWAY_TEST(metrics, an_unavailable_store_is_visible, test::FixtureOptions{}) {
  fixture.store().faults().refuse = true;
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(2600));
  const std::string text = co_await scrape(fixture);
  cr_assert(contains(text, "linenpier_feed_healthy{table=\"operator\"} 0"));
  cr_assert(contains(text, "linenpier_lease_valid 0"));
}
