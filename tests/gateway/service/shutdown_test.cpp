/// @file
/// End-to-end tests of a planned stop while the store is unavailable.

#include "support/gateway_fixture.h"

using namespace linenpier;
using test::GatewayFixture;

namespace {

/// From the signal until connections are closed, and some time for the closing itself.
constexpr Duration kConnectionsClosed = std::chrono::milliseconds(3600);
constexpr int kJobs = 3;

/// Calls the request address of a gateway, which may have stopped listening.
Task<http::ExchangeStatus> callAddress(GatewayFixture& fixture, http::ConnectionPool& pool,
                                       Address address) {
  const http::CallOutcome outcome = co_await http::call(
      pool, address, fixture.lookupRequest("after-stop"), steadyNow() + std::chrono::seconds(2));
  co_return outcome.status;
}

}  // namespace

// Guards against a stopping gateway that keeps its connections open while it hands its jobs over to
// a store that does not respond, and then cuts off the requests that it still accepts.
GATEWAY_TEST(shutdown, connections_are_closed_in_time_while_the_store_is_silent,
             test::twoGateways(100)) {
  fixture.model(0).setEventGap(std::chrono::milliseconds(200));
  fixture.model(1).setEventGap(std::chrono::milliseconds(200));
  for (int i = 0; i < kJobs; ++i) {
    const auto accepted =
        co_await fixture.call(0, fixture.jobRequest("job-" + std::to_string(i), 2));
    cr_assert_eq(accepted.response.result_int(), 202U);
  }
  const Address address = fixture.gateway(0).requestAddress();
  http::ConnectionPool kept(fixture.loop(), {});
  cr_assert(co_await callAddress(fixture, kept, address) == http::ExchangeStatus::kOk);
  fixture.store().faults().silent = true;
  fixture.gateway(0).stop();
  co_await sleepFor(fixture.loop(), kConnectionsClosed);
  http::ConnectionPool fresh(fixture.loop(), {});
  const http::ExchangeStatus on_kept = co_await callAddress(fixture, kept, address);
  const http::ExchangeStatus on_fresh = co_await callAddress(fixture, fresh, address);
  cr_assert(on_kept == http::ExchangeStatus::kNotConnected, "%s", http::toText(on_kept));
  cr_assert(on_fresh == http::ExchangeStatus::kNotConnected, "%s", http::toText(on_fresh));
}
