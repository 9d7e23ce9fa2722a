/// @file
/// Orders for a number of engines through whole gateways, against a stand-in of the platform's
/// service that adds and takes away entries of engines.

#include <nlohmann/json.hpp>

#include "support/gateway_fixture.h"

using namespace linenpier;
using nlohmann::json;
using test::DutyCall;
using test::GatewayFixture;

namespace {

scaling::scaling_options quick(scaling::ScalingMode mode) {
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

test::FixtureOptions scaled(int gateways,
                            scaling::ScalingMode mode = scaling::ScalingMode::kReplace) {
  test::FixtureOptions options;
  options.gateways = gateways;
  options.model_samplers = 0;
  options.scaling = quick(mode);
  options.scaling_bounds = R"({"min":0,"max":9,"bootTimeS":0.2,"spotPrice":0.22,
      "zonePrices":{"a":1.0,"b":0.8}})";
  return options;
}

/// Engines of the service with models, as the platform lists them. They share one address.
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
      all.push_back("e-" + std::to_string(++this->named_));
      this->fixture_.store().put("servers", all.back(), this->entry(zone, spot).dump());
    }
  }
  /// All of a zone's spot engines drain and are gone a second later.
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
  int named_ = 0;
};

/// @return the engines of a test, which outlive it: its tasks refer to them.
platform_engines& enginesOf(GatewayFixture& fixture, std::size_t a, std::size_t b) {
  auto* engines = new platform_engines(fixture);
  engines->put("a", a);
  engines->put("b", b);
  return *engines;
}

/// Waits until the usual number is written down, and somebody may order.
Task<bool> waitSettled(GatewayFixture& fixture) {
  GatewayFixture* all = &fixture;
  co_return co_await fixture.waitFor(
      [all] { return all->store().get("scaling", "models").has_value(); },
      std::chrono::seconds(12));
}

std::size_t holder(GatewayFixture& fixture) {
  const auto right = fixture.store().get("linenpier", "right/scaling");
  cr_assert(right.has_value());
  return right->starts_with("d0") ? 0 : 1;
}

/// Fails if a token is used by two, or falls.
void assertTokensRise(GatewayFixture& fixture) {
  std::map<std::uint64_t, std::string> holders;
  std::uint64_t highest = 0;
  for (const DutyCall& call : fixture.duties().calls()) {
    cr_assert(call.token > 0);
    const auto [at, added] = holders.emplace(call.token, call.holder);
    cr_assert_eq(at->second, call.holder, "two holders with one token");
    cr_assert(call.token >= highest);
    highest = call.token;
  }
}

}  // namespace

GATEWAY_TEST(scaling, engines_that_are_taken_back_are_made_up_for_before_they_are_gone, scaled(2)) {
  platform_engines& engines = enginesOf(fixture, 2, 2);
  engines.put("b", 3, true);
  const bool settled = co_await waitSettled(fixture);
  cr_assert(settled);
  cr_assert(fixture.duties().calls().empty(), "nothing is missing");
  engines.reclaim("b");
  const bool made_up =
      co_await fixture.waitFor([&engines] { return engines.count("a") + engines.count("b") >= 7; },
                               std::chrono::milliseconds(900));
  cr_assert(made_up);
  assertTokensRise(fixture);
}

GATEWAY_TEST(scaling, a_zone_that_is_gone_is_made_up_for_and_given_back_slowly, scaled(1)) {
  platform_engines& engines = enginesOf(fixture, 3, 3);
  const bool settled = co_await waitSettled(fixture);
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
    cr_assert(wanted + 1 >= before, "more than one engine at a time was taken away");
    before = wanted;
  }
}

GATEWAY_TEST(scaling, the_next_holder_does_not_undo_the_last_order, scaled(2)) {
  platform_engines& engines = enginesOf(fixture, 3, 3);
  const bool settled = co_await waitSettled(fixture);
  cr_assert(settled);
  engines.put("b", 0);
  const bool made_up = co_await fixture.waitFor([&engines] { return engines.count("a") == 6; });
  cr_assert(made_up);
  const std::size_t first = holder(fixture);
  const std::uint64_t token = fixture.duties().calls().back().token;
  const std::size_t in_a = engines.count("a");
  fixture.cutFromStore(first);
  // A holder that cannot prove its right sends nothing once the last proof has run out.
  co_await sleepFor(fixture.loop(), std::chrono::seconds(2));
  const std::size_t calls = fixture.duties().calls().size();
  const bool taken = co_await fixture.waitFor(
      [&fixture, first] { return holder(fixture) != first; }, std::chrono::seconds(8));
  cr_assert(taken);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(5));
  cr_assert(engines.count("a") >= in_a, "the zone is still gone");
  engines.put("a", in_a - 2);
  const bool again = co_await fixture.waitFor(
      [&engines, in_a] { return engines.count("a") >= in_a; }, std::chrono::seconds(6));
  cr_assert(again, "the next holder goes on from the last order");
  cr_assert(fixture.duties().calls().size() > calls);
  for (std::size_t i = calls; i < fixture.duties().calls().size(); ++i) {
    cr_assert(fixture.duties().calls()[i].token > token);
    cr_assert(fixture.duties().calls()[i].holder != (first == 0 ? "d0" : "d1"));
  }
  assertTokensRise(fixture);
}

GATEWAY_TEST(scaling, an_order_without_an_answer_is_sent_again_as_it_was, scaled(1)) {
  platform_engines& engines = enginesOf(fixture, 3, 3);
  const bool settled = co_await waitSettled(fixture);
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

GATEWAY_TEST(scaling, an_order_that_is_carried_out_after_newer_ones_is_put_right, scaled(1)) {
  platform_engines& engines = enginesOf(fixture, 3, 3);
  const bool settled = co_await waitSettled(fixture);
  cr_assert(settled);
  engines.put("b", 0);
  const bool made_up = co_await fixture.waitFor([&engines] { return engines.count("a") == 6; });
  cr_assert(made_up);
  engines.put("b", 3);
  // The first order for fewer is held up; those after it are not.
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

GATEWAY_TEST(scaling, a_service_that_turns_calls_away_gets_them_later, scaled(1)) {
  platform_engines& engines = enginesOf(fixture, 3, 3);
  const bool settled = co_await waitSettled(fixture);
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

GATEWAY_TEST(scaling, where_there_are_none_another_zone_is_asked, scaled(1)) {
  platform_engines& engines = enginesOf(fixture, 2, 2);
  engines.put("c", 2);
  const bool settled = co_await waitSettled(fixture);
  cr_assert(settled);
  fixture.duties().faults().scarce_zone = "b";
  engines.put("c", 0);
  const bool made_up = co_await fixture.waitFor([&engines] { return engines.count("a") == 4; },
                                                std::chrono::seconds(6));
  cr_assert(made_up);
  cr_assert_eq(engines.count("b"), 2U);
}

GATEWAY_TEST(scaling, nothing_is_ordered_while_the_store_does_not_answer, scaled(1)) {
  platform_engines& engines = enginesOf(fixture, 3, 3);
  const bool settled = co_await waitSettled(fixture);
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

GATEWAY_TEST(scaling, a_fixed_number_takes_no_right_and_sends_nothing,
             scaled(1, scaling::ScalingMode::kFixed)) {
  platform_engines& engines = enginesOf(fixture, 3, 3);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(2));
  engines.put("b", 0);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(3));
  cr_assert(fixture.duties().calls().empty());
  cr_assert_not(fixture.store().get("linenpier", "right/scaling").has_value());
  cr_assert_not(fixture.store().get("scaling", "models").has_value());
}

namespace {
test::FixtureOptions withoutBounds() {
  test::FixtureOptions options = scaled(1);
  options.scaling_bounds.clear();
  return options;
}
}  // namespace

GATEWAY_TEST(scaling, a_service_without_bounds_is_left_alone, withoutBounds()) {
  platform_engines& engines = enginesOf(fixture, 3, 3);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(2));
  engines.put("b", 0);
  co_await sleepFor(fixture.loop(), std::chrono::seconds(3));
  cr_assert(fixture.duties().calls().empty());
}
