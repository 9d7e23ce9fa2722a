/// @file
/// End-to-end tests of the leader lock for engine orders, with and without fencing checks.

#include <nlohmann/json.hpp>

#include "support/gateway_fixture.h"

using namespace linenpier;
using nlohmann::json;
using test::GatewayFixture;

namespace {

/// From a takeover of the lock to the first order, without the takeover delay of 3.1 s.
constexpr Duration kFirstOrderTime = std::chrono::seconds(1);

test::FixtureOptions twoGateways() {
  test::FixtureOptions options;
  options.gateways = 2;
  return options;
}

test::FixtureOptions withFencingChecks() {
  test::FixtureOptions options = twoGateways();
  options.tokens_checked = true;
  return options;
}

/// @return the holder of each order, in the sequence in which the engine received them.
std::vector<std::string> orderHolders(GatewayFixture& fixture, std::size_t engine) {
  std::vector<std::string> names;
  for (const std::string& order : fixture.model(engine).orders()) {
    names.push_back(json::parse(order)["holder"].get<std::string>());
  }
  return names;
}

bool hasOrderFrom(GatewayFixture& fixture, const std::string& holder) {
  const std::vector<std::string> names = orderHolders(fixture, 0);
  return std::find(names.begin(), names.end(), holder) != names.end();
}

/// @return the daemon that holds the lock for orders to the engines; empty: none.
std::string lockHolder(GatewayFixture& fixture) {
  const std::string row = fixture.store().get("linenpier", "order/models").value_or("");
  return row.substr(0, row.find('#'));
}

/// Requests a version that discovery never reports, so that the leader keeps sending orders.
/// @return the gateway that sends the first order.
Task<std::size_t> awaitFirstHolder(GatewayFixture& fixture) {
  fixture.store().put("op", "version/m", R"({"model":"m","version":2})");
  const bool begun = co_await fixture.waitFor(
      [&fixture] { return hasOrderFrom(fixture, "d0") || hasOrderFrom(fixture, "d1"); });
  cr_assert(begun);
  co_return hasOrderFrom(fixture, "d0") ? 0 : 1;
}

}  // namespace

GATEWAY_TEST(engine_order_lock, a_disconnected_leader_never_sends_an_order_after_its_successor,
             twoGateways()) {
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setChecksFences(false);
  const std::size_t first = co_await awaitFirstHolder(fixture);
  const std::string old_holder = "d" + std::to_string(first);
  const std::string new_holder = "d" + std::to_string(1 - first);
  fixture.cutFromStore(first);
  const bool taken = co_await fixture.waitFor(
      [&fixture, &new_holder] { return hasOrderFrom(fixture, new_holder); },
      std::chrono::seconds(9));
  cr_assert(taken);
  // Reconnects the old leader for writes while its feed still hides the takeover.
  fixture.store().faults().hang_feeds = true;
  fixture.reconnectToStore(first);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(5500));
  for (std::size_t engine = 0; engine < 2; ++engine) {
    bool handed_over = false;
    for (const std::string& name : orderHolders(fixture, engine)) {
      handed_over = handed_over || name == new_holder;
      cr_assert(!handed_over || name == new_holder, "%s sent an order after %s", old_holder.c_str(),
                new_holder.c_str());
    }
  }
}

GATEWAY_TEST(engine_order_lock, with_fencing_checks_the_next_leader_sends_orders_at_once,
             withFencingChecks()) {
  const std::size_t first = co_await awaitFirstHolder(fixture);
  const std::string old_holder = "d" + std::to_string(first);
  const std::string new_holder = "d" + std::to_string(1 - first);
  // Waits out the startup delay, which covers orders sent before a restart.
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(3200));
  fixture.cutFromStore(first);
  const bool acquired = co_await fixture.waitFor(
      [&fixture, &new_holder] { return lockHolder(fixture) == new_holder; },
      std::chrono::seconds(9));
  cr_assert(acquired);
  const Instant acquired_at = steadyNow();
  const bool taken = co_await fixture.waitFor(
      [&fixture, &new_holder] { return hasOrderFrom(fixture, new_holder); },
      std::chrono::seconds(9));
  cr_assert(taken);
  cr_assert(steadyNow() - acquired_at < kFirstOrderTime, "the takeover delay was applied");
}

GATEWAY_TEST(engine_order_lock, with_fencing_checks_leaders_never_alternate, withFencingChecks()) {
  fixture.store().put("op", "version/m", R"({"model":"m","version":2})");
  // Arrival time and holder of each order.
  std::vector<std::pair<Instant, std::string>> orders;
  const auto collectOrders = [&fixture, &orders] {
    const std::vector<std::string> names = orderHolders(fixture, 0);
    while (orders.size() < names.size()) {
      orders.emplace_back(steadyNow(), names[orders.size()]);
    }
    return false;
  };
  co_await fixture.waitFor(collectOrders, std::chrono::seconds(4));
  cr_assert_not(orders.empty());
  // Repeatedly disconnects the current leader.
  for (int i = 0; i < 3; ++i) {
    const std::size_t holder = orders.back().second == "d0" ? 0 : 1;
    fixture.cutFromStore(holder);
    co_await fixture.waitFor(collectOrders, std::chrono::milliseconds(2600));
    fixture.reconnectToStore(holder);
    co_await fixture.waitFor(collectOrders, std::chrono::milliseconds(1500));
  }
  std::map<std::string, Instant> last;
  std::string before;
  int changes = 0;
  for (const auto& [at, name] : orders) {
    if (name != before && last.contains(name)) {
      cr_assert_geq(toSeconds(at - last[name]), 3.0, "%s became leader again too soon",
                    name.c_str());
    }
    if (name != before) ++changes;
    last[name] = at;
    before = name;
  }
  cr_assert_geq(changes, 2);
}
