/// @file
/// The right to order engines, through whole gateways, at engines that do not check fences.

#include <nlohmann/json.hpp>

#include "support/gateway_fixture.h"

using namespace linenpier;
using nlohmann::json;
using test::GatewayFixture;

namespace {

test::FixtureOptions twoGateways() {
  test::FixtureOptions options;
  options.gateways = 2;
  return options;
}

test::FixtureOptions checkingTokens() {
  test::FixtureOptions options = twoGateways();
  options.tokens_checked = true;
  return options;
}

/// Orders in the order in which an engine got them.
std::vector<std::string> holders(GatewayFixture& fixture, std::size_t engine) {
  std::vector<std::string> names;
  for (const std::string& order : fixture.model(engine).orders()) {
    names.push_back(json::parse(order)["holder"].get<std::string>());
  }
  return names;
}

bool orderedBy(GatewayFixture& fixture, const std::string& holder) {
  const std::vector<std::string> names = holders(fixture, 0);
  return std::find(names.begin(), names.end(), holder) != names.end();
}

/// Names a version, which discovery never shows: whoever holds the right orders again and again.
/// @return the gateway that orders first.
Task<std::size_t> awaitFirstHolder(GatewayFixture& fixture) {
  fixture.store().put("op", "version/m", R"({"model":"m","version":2})");
  const bool begun = co_await fixture.waitFor(
      [&fixture] { return orderedBy(fixture, "d0") || orderedBy(fixture, "d1"); });
  cr_assert(begun);
  co_return orderedBy(fixture, "d0") ? 0 : 1;
}

}  // namespace

GATEWAY_TEST(order_right, a_holder_that_was_cut_off_never_orders_after_the_next_one,
             twoGateways()) {
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setChecksFences(false);
  const std::size_t first = co_await awaitFirstHolder(fixture);
  const std::string old_holder = "d" + std::to_string(first);
  const std::string new_holder = "d" + std::to_string(1 - first);
  fixture.cutFromStore(first);
  const bool taken = co_await fixture.waitFor(
      [&fixture, &new_holder] { return orderedBy(fixture, new_holder); }, std::chrono::seconds(9));
  cr_assert(taken);
  // Its writes reach the store again, long before its feed tells it what has happened.
  fixture.store().faults().hang_feeds = true;
  fixture.joinToStore(first);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(5500));
  for (std::size_t engine = 0; engine < 2; ++engine) {
    bool handed_over = false;
    for (const std::string& name : holders(fixture, engine)) {
      handed_over = handed_over || name == new_holder;
      cr_assert(!handed_over || name == new_holder, "%s ordered after %s", old_holder.c_str(),
                new_holder.c_str());
    }
  }
}

GATEWAY_TEST(order_right, where_tokens_are_checked_the_next_holder_orders_at_once,
             checkingTokens()) {
  const std::size_t first = co_await awaitFirstHolder(fixture);
  const std::string old_holder = "d" + std::to_string(first);
  const std::string new_holder = "d" + std::to_string(1 - first);
  // A daemon that just started may have ordered in an earlier life.
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(3200));
  fixture.cutFromStore(first);
  const Instant cut_at = steadyNow();
  const bool taken = co_await fixture.waitFor(
      [&fixture, &new_holder] { return orderedBy(fixture, new_holder); }, std::chrono::seconds(9));
  cr_assert(taken);
  cr_assert_lt(toSeconds(steadyNow() - cut_at), 3.5, "without the pause of 3.1 s");
}

GATEWAY_TEST(order_right, two_holders_never_take_turns_where_tokens_are_checked, checkingTokens()) {
  fixture.store().put("op", "version/m", R"({"model":"m","version":2})");
  // When each order came, and whose it was.
  std::vector<std::pair<Instant, std::string>> orders;
  const auto look = [&fixture, &orders] {
    const std::vector<std::string> names = holders(fixture, 0);
    while (orders.size() < names.size()) {
      orders.emplace_back(steadyNow(), names[orders.size()]);
    }
    return false;
  };
  co_await fixture.waitFor(look, std::chrono::seconds(4));
  cr_assert_not(orders.empty());
  // Whoever holds the right is cut off for a while, again and again.
  for (int i = 0; i < 3; ++i) {
    const std::size_t holder = orders.back().second == "d0" ? 0 : 1;
    fixture.cutFromStore(holder);
    co_await fixture.waitFor(look, std::chrono::milliseconds(2600));
    fixture.joinToStore(holder);
    co_await fixture.waitFor(look, std::chrono::milliseconds(1500));
  }
  std::map<std::string, Instant> last;
  std::string before;
  int changes = 0;
  for (const auto& [at, name] : orders) {
    if (name != before && last.contains(name)) {
      cr_assert_geq(toSeconds(at - last[name]), 3.0, "%s took turns", name.c_str());
    }
    if (name != before) ++changes;
    last[name] = at;
    before = name;
  }
  cr_assert_geq(changes, 2);
}
