/// @file
/// A machine that is suspended for some seconds and wakes. The steady clock stands still meanwhile:
/// what a daemon believes of its rights, of being in touch and of deadlines is older than that
/// says.

#include "support/gateway_fixture.h"
#include "support/suspendable_clock.h"

using namespace linenpier;
using test::GatewayFixture;

namespace {

constexpr Duration kSuspension = std::chrono::seconds(6);

std::size_t orders(GatewayFixture& fixture) {
  return fixture.model(0).orders().size() + fixture.model(1).orders().size();
}

}  // namespace

GATEWAY_TEST(suspension, a_holder_that_wakes_orders_nothing_on_a_right_that_ran_out,
             test::FixtureOptions{}) {
  test::suspendable_clock clock;
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setChecksFences(false);
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setBusy(true);
  fixture.store().put("op", "version/m", R"({"model":"m","version":2})");
  // It holds the right, and asks the engines again and again whether they take an order.
  co_await sleepFor(fixture.loop(), std::chrono::seconds(6));
  cr_assert_eq(orders(fixture), 0U);
  // Nothing tells it that another one may have taken the right.
  fixture.store().faults().silent = true;
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setBusy(false);
  clock.suspend(kSuspension);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(2));
  cr_assert_eq(orders(fixture), 0U);
}

GATEWAY_TEST(suspension, a_request_whose_deadline_passed_is_answered_on_waking,
             test::FixtureOptions{}) {
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
  // A timer that runs out wakes the loop, at the latest after the longest of the short periods.
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(500));
  cr_assert(status.has_value(), "its second was over long ago");
  cr_assert_eq(*status, 504U);
}

GATEWAY_TEST(suspension, an_answer_that_lay_there_meanwhile_is_no_word_of_now,
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
    // The answer takes ten events, 5 ms each.
    co_await sleepFor(fixture.loop(), std::chrono::milliseconds(20));
    if (suspended) clock.suspend(kSuspension);
    cr_assert(co_await fixture.waitFor([&outcome] { return outcome.has_value(); }));
    const auto expected = suspended ? http::ExchangeStatus::kTimedOut : http::ExchangeStatus::kOk;
    cr_assert_eq(outcome->status, expected);
    cr_assert(outcome->sent, "it may have been done");
  }
}
