/// @file
/// End-to-end tests of a machine that is suspended and resumed. The steady clock does not count the
/// suspension, so leader locks, connectivity and deadlines must not rely on it.

#include "support/gateway_fixture.h"
#include "support/suspendable_clock.h"

using namespace linenpier;
using test::GatewayFixture;

namespace {

constexpr Duration kSuspension = std::chrono::seconds(6);

std::size_t countOrders(GatewayFixture& fixture) {
  return fixture.model(0).orders().size() + fixture.model(1).orders().size();
}

}  // namespace

GATEWAY_TEST(suspension, a_resumed_leader_sends_no_orders_under_an_expired_lock,
             test::FixtureOptions{}) {
  test::suspendable_clock clock;
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setChecksFences(false);
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setBusy(true);
  fixture.store().put("op", "version/m", R"({"model":"m","version":2})");
  // The daemon acquires the leader lock and polls the busy engines.
  co_await sleepFor(fixture.loop(), std::chrono::seconds(6));
  cr_assert_eq(countOrders(fixture), 0U);
  // The daemon cannot learn whether another one has taken over the lock.
  fixture.store().faults().silent = true;
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setBusy(false);
  clock.suspend(kSuspension);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(2));
  cr_assert_eq(countOrders(fixture), 0U);
}

GATEWAY_TEST(suspension, an_expired_request_is_answered_on_resume, test::FixtureOptions{}) {
  test::suspendable_clock clock;
  for (std::size_t i = 0; i < 2; ++i) {
    fixture.lookup(i).script() = {test::SamplerAct::kSilent, test::SamplerAct::kSilent};
  }
  std::optional<unsigned> status;
  spawn(fixture.loop(), [&fixture, &status]() -> Task<void> {
    const auto outcome = co_await fixture.call(0, fixture.lookupRequest("r1"));
    status = outcome.response.result_int();
  });
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(200));
  clock.suspend(kSuspension);
  // The expired deadline is noticed when the next periodic timer fires.
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(500));
  cr_assert(status.has_value(), "the request was not answered after its deadline");
  cr_assert_eq(*status, 504U);
}

GATEWAY_TEST(suspension, a_response_buffered_during_a_suspension_counts_as_timed_out,
             test::FixtureOptions{}) {
  test::suspendable_clock clock;
  http::ConnectionPool pool(fixture.loop(), {});
  for (const bool suspended : {false, true}) {
    std::optional<http::CallOutcome> outcome;
    spawn(fixture.loop(), [&]() -> Task<void> {
      http::Request request = fixture.lookupRequest("r1", "/talk/1");
      request.set("Target-Instance", fixture.model(0).id());
      const Instant deadline = steadyNow() + std::chrono::seconds(10);
      outcome = co_await http::call(pool, fixture.model(0).address(), std::move(request), deadline);
    });
    // The response takes ten events of 5 ms each.
    co_await sleepFor(fixture.loop(), std::chrono::milliseconds(20));
    if (suspended) clock.suspend(kSuspension);
    cr_assert(co_await fixture.waitFor([&outcome] { return outcome.has_value(); }));
    const auto expected = suspended ? http::ExchangeStatus::kTimedOut : http::ExchangeStatus::kOk;
    cr_assert_eq(outcome->status, expected);
    cr_assert(outcome->sent, "the request must count as sent");
  }
}
