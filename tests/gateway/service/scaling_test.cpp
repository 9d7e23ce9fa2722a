/// @file
/// End-to-end tests of scaling orders, against a stand-in of the platform's service that adds and
/// removes engine entries.

#include <nlohmann/json.hpp>

#include "support/gateway_fixture.h"

using namespace linenpier;
using nlohmann::json;
using test::DutyCall;
using test::GatewayFixture;

namespace {

scaling::scaling_options fastOptions(scaling::ScalingMode mode) {
  scaling::scaling_options options;
  options.mode = mode;
  options.settle = std::chrono::milliseconds(300);
  options.loss_timeout = std::chrono::milliseconds(500);
  options.boot_slack = std::chrono::milliseconds(400);
  options.stabilization_window = std::chrono::milliseconds(1500);
  options.scale_down_interval = std::chrono::milliseconds(300);
  options.first_backoff = std::chrono::milliseconds(500);
  options.reclaim_backoff = std::chrono::milliseconds(1500);
  return options;
}

test::FixtureOptions withScaling(int gateways,
                                 scaling::ScalingMode mode = scaling::ScalingMode::kReplace) {
  test::FixtureOptions options;
  options.gateways = gateways;
  options.model_samplers = 0;
  options.scaling = fastOptions(mode);
  options.scaling_bounds = R"({"min":0,"max":9,"bootTimeS":0.2,"spotPrice":0.22,
      "zonePrices":{"a":1.0,"b":0.8}})";
  return options;
}

/// The registry entries of the model service's engines, which share one address.
class platform_engines {
 public:
  explicit platform_engines(GatewayFixture& fixture) : fixture_(fixture) {
    fixture.duties().setOnDone([this](const DutyCall& call) { this->onCall(call); });
  }

  void put(const std::string& zone, std::size_t count, bool spot = false) {
    std::vector<std::string>& all = this->ids_[{zone, spot}];
    while (all.size() > count) {
      this->fixture_.store().remove("servers", all.back());
      all.pop_back();
    }
    while (all.size() < count) {
      all.push_back("e-" + std::to_string(++this->last_id_));
      this->fixture_.store().put("servers", all.back(), this->entry(zone, spot).dump());
    }
  }
  /// Drains all spot engines of a zone and removes them after one second.
  void reclaim(const std::string& zone) {
    for (const std::string& id : this->ids_[{zone, true}]) {
      json entry = this->entry(zone, true);
      entry["state"] = "draining";
      entry["leaves_ms"] = 1000;
      this->fixture_.store().put("servers", id, entry.dump());
    }
    spawn(this->fixture_.loop(), [this, zone]() -> Task<void> {
      co_await sleepFor(this->fixture_.loop(), std::chrono::seconds(1));
      this->put(zone, 0, true);
    });
  }
  std::size_t count(const std::string& zone, bool spot = false) {
    return this->ids_[{zone, spot}].size();
  }

 private:
  json entry(const std::string& zone, bool spot) const {
    json entry = json::parse(this->fixture_.lookup(0).entry("models"));
    entry["zone"] = zone;
    if (spot) entry["spot"] = true;
    return entry;
  }
  void onCall(const DutyCall& call) {
    if (call.path != "/scale") return;
    const json order = json::parse(call.body);
    this->put(order["zone"], order["desired"], order.value("spot", false));
  }

  GatewayFixture& fixture_;
  std::map<std::pair<std::string, bool>, std::vector<std::string>> ids_;
  int last_id_ = 0;
};

/// @return the engines of a test; never deleted, as its tasks keep references to them.
platform_engines& makeEngines(GatewayFixture& fixture, std::size_t a, std::size_t b) {
  auto* engines = new platform_engines(fixture);
  engines->put("a", a);
  engines->put("b", b);
  return *engines;
}

/// Waits until the baseline engine count is stored and a leader may send orders.
Task<bool> waitForBaseline(GatewayFixture& fixture) {
  GatewayFixture* all = &fixture;
  co_return co_await fixture.waitFor(
      [all] { return all->store().get("scaling", "models").has_value(); },
      std::chrono::seconds(12));
}

std::size_t leaderIndex(GatewayFixture& fixture) {
  const auto right = fixture.store().get("linenpier", "right/scaling");
  cr_assert(right.has_value());
  return right->starts_with("d0") ? 0 : 1;
}

/// Fails if two holders use the same token or if tokens decrease.
void assertTokensIncrease(GatewayFixture& fixture) {
  std::map<std::uint64_t, std::string> holders;
  std::uint64_t highest = 0;
  for (const DutyCall& call : fixture.duties().calls()) {
    cr_assert(call.token > 0);
    const auto [at, added] = holders.emplace(call.token, call.holder);
    cr_assert_eq(at->second, call.holder, "two holders used the same token");
    cr_assert(call.token >= highest);
    highest = call.token;
  }
}

}  // namespace

GATEWAY_TEST(scaling, reclaimed_engines_are_replaced_before_they_are_removed, withScaling(2)) {
  platform_engines& engines = makeEngines(fixture, 2, 2);
  engines.put("b", 3, true);
  const bool settled = co_await waitForBaseline(fixture);
  cr_assert(settled);
  cr_assert(fixture.duties().calls().empty(), "an order was sent although no engine is missing");
  engines.reclaim("b");
  const bool made_up =
      co_await fixture.waitFor([&engines] { return engines.count("a") + engines.count("b") >= 7; },
                               std::chrono::milliseconds(900));
  cr_assert(made_up);
  assertTokensIncrease(fixture);
}

GATEWAY_TEST(scaling, a_lost_zone_is_replaced_and_scaled_down_gradually_after_recovery,
             withScaling(1)) {
  platform_engines& engines = makeEngines(fixture, 3, 3);
  const bool settled = co_await waitForBaseline(fixture);
  cr_assert(settled);
  engines.put("b", 0);
  const bool made_up = co_await fixture.waitFor([&engines] { return engines.count("a") == 6; });
  cr_assert(made_up);
  engines.put("b", 3);
  const Instant back_at = steadyNow();
  const bool given_back = co_await fixture.waitFor([&engines] { return engines.count("a") == 3; },
                                                   std::chrono::seconds(10));
  cr_assert(given_back);
  cr_assert(steadyNow() - back_at >= std::chrono::milliseconds(1500));
  std::size_t before = 0;
  for (const DutyCall& call : fixture.duties().calls()) {
    const json order = json::parse(call.body);
    if (order["zone"] != "a") continue;
    const std::size_t wanted = order["desired"];
    cr_assert(wanted + 1 >= before, "more than one engine was removed at a time");
    before = wanted;
  }
}

GATEWAY_TEST(scaling, the_next_leader_does_not_revert_the_last_order, withScaling(2)) {
  platform_engines& engines = makeEngines(fixture, 3, 3);
  const bool settled = co_await waitForBaseline(fixture);
  cr_assert(settled);
  engines.put("b", 0);
  const bool made_up = co_await fixture.waitFor([&engines] { return engines.count("a") == 6; });
  cr_assert(made_up);
  const std::size_t first = leaderIndex(fixture);
  const std::uint64_t token = fixture.duties().calls().back().token;
  const std::size_t in_a = engines.count("a");
  fixture.cutFromStore(first);
  // A leader that cannot renew its lock sends nothing after the last renewal has expired.
  co_await sleepFor(fixture.loop(), std::chrono::seconds(2));
  const std::size_t calls = fixture.duties().calls().size();
  const bool taken = co_await fixture.waitFor(
      [&fixture, first] { return leaderIndex(fixture) != first; }, std::chrono::seconds(8));
  cr_assert(taken);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(5));
  cr_assert(engines.count("a") >= in_a,
            "the replacement engines were removed while the zone is still down");
  engines.put("a", in_a - 2);
  const bool again = co_await fixture.waitFor(
      [&engines, in_a] { return engines.count("a") >= in_a; }, std::chrono::seconds(6));
  cr_assert(again, "the new leader did not continue from the last order");
  cr_assert(fixture.duties().calls().size() > calls);
  for (std::size_t i = calls; i < fixture.duties().calls().size(); ++i) {
    cr_assert(fixture.duties().calls()[i].token > token);
    cr_assert(fixture.duties().calls()[i].holder != (first == 0 ? "d0" : "d1"));
  }
  assertTokensIncrease(fixture);
}

GATEWAY_TEST(scaling, an_unanswered_order_is_repeated_unchanged, withScaling(1)) {
  platform_engines& engines = makeEngines(fixture, 3, 3);
  const bool settled = co_await waitForBaseline(fixture);
  cr_assert(settled);
  fixture.duties().faults().delay = 2;
  engines.put("b", 0);
  const bool made_up = co_await fixture.waitFor([&engines] { return engines.count("a") == 6; });
  cr_assert(made_up);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(3));
  cr_assert_eq(engines.count("a"), 6U);
  for (const DutyCall& call : fixture.duties().calls()) {
    const json order = json::parse(call.body);
    if (order["zone"] == "a") cr_assert_eq(order["desired"].get<int>(), 6);
  }
}

GATEWAY_TEST(scaling, an_order_executed_after_newer_ones_is_corrected, withScaling(1)) {
  platform_engines& engines = makeEngines(fixture, 3, 3);
  const bool settled = co_await waitForBaseline(fixture);
  cr_assert(settled);
  engines.put("b", 0);
  const bool made_up = co_await fixture.waitFor([&engines] { return engines.count("a") == 6; });
  cr_assert(made_up);
  engines.put("b", 3);
  // Delays only the first scale-down order.
  const std::size_t calls = fixture.duties().calls().size();
  fixture.duties().faults().delay = 1;
  const bool fewer = co_await fixture.waitFor([&engines] { return engines.count("a") == 3; },
                                              std::chrono::seconds(10));
  cr_assert(fewer);
  const bool late = co_await fixture.waitFor(
      [&fixture, calls] {
        const auto& all = fixture.duties().calls();
        return std::any_of(all.begin() + static_cast<std::ptrdiff_t>(calls), all.end(),
                           [](const DutyCall& call) {
                             const json order = json::parse(call.body);
                             return order["zone"] == "a" && order["desired"] == 5;
                           });
      },
      std::chrono::seconds(4));
  cr_assert(late);
  const bool right = co_await fixture.waitFor([&engines] { return engines.count("a") == 3; },
                                              std::chrono::seconds(8));
  cr_assert(right);
}

GATEWAY_TEST(scaling, calls_that_the_service_refuses_are_retried_with_backoff, withScaling(1)) {
  platform_engines& engines = makeEngines(fixture, 3, 3);
  const bool settled = co_await waitForBaseline(fixture);
  cr_assert(settled);
  fixture.duties().faults().refuse = true;
  engines.put("b", 0);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(4));
  const std::size_t calls = fixture.duties().calls().size();
  cr_assert(calls >= 1);
  cr_assert(calls <= 10, "%zu calls in four seconds", calls);
  fixture.duties().faults().refuse = false;
  const bool made_up = co_await fixture.waitFor([&engines] { return engines.count("a") == 6; });
  cr_assert(made_up);
}

GATEWAY_TEST(scaling, another_zone_is_used_if_a_zone_has_no_capacity, withScaling(1)) {
  platform_engines& engines = makeEngines(fixture, 2, 2);
  engines.put("c", 2);
  const bool settled = co_await waitForBaseline(fixture);
  cr_assert(settled);
  fixture.duties().faults().scarce_zone = "b";
  engines.put("c", 0);
  const bool made_up = co_await fixture.waitFor([&engines] { return engines.count("a") == 4; },
                                                std::chrono::seconds(6));
  cr_assert(made_up);
  cr_assert_eq(engines.count("b"), 2U);
}

GATEWAY_TEST(scaling, no_orders_are_sent_while_the_store_does_not_respond, withScaling(1)) {
  platform_engines& engines = makeEngines(fixture, 3, 3);
  const bool settled = co_await waitForBaseline(fixture);
  cr_assert(settled);
  fixture.store().faults().silent = true;
  engines.put("b", 0);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(4));
  cr_assert(fixture.duties().calls().empty());
  fixture.store().faults().silent = false;
  const bool made_up = co_await fixture.waitFor([&engines] { return engines.count("a") == 6; },
                                                std::chrono::seconds(10));
  cr_assert(made_up);
}

GATEWAY_TEST(scaling, fixed_mode_takes_no_leader_lock_and_sends_no_orders,
             withScaling(1, scaling::ScalingMode::kFixed)) {
  platform_engines& engines = makeEngines(fixture, 3, 3);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(2));
  engines.put("b", 0);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(3));
  cr_assert(fixture.duties().calls().empty());
  cr_assert_not(fixture.store().get("linenpier", "right/scaling").has_value());
  cr_assert_not(fixture.store().get("scaling", "models").has_value());
}

namespace {
test::FixtureOptions withoutBounds() {
  test::FixtureOptions options = withScaling(1);
  options.scaling_bounds.clear();
  return options;
}
}  // namespace

GATEWAY_TEST(scaling, a_service_without_bounds_is_not_scaled, withoutBounds()) {
  platform_engines& engines = makeEngines(fixture, 3, 3);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(2));
  engines.put("b", 0);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(3));
  cr_assert(fixture.duties().calls().empty());
}
