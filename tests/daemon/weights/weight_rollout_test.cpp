#include "daemon/weights/weight_rollout.h"

#include <criterion/criterion.h>

using namespace linenpier;
using engine::FencedOrder;
using engine::OrderOutcome;

namespace {

const ModelName kModel("m");
constexpr Instant kStart{std::chrono::seconds(100)};

/// One daemon that owns `count` engines of version 1.
struct Fixture {
  std::map<EngineId, upstream::EngineState> engines;
  ownership::EngineOwnership ownership{DaemonId("d"), {}};
  weights::WeightRollout rollout{{}};

  explicit Fixture(int count) {
    for (int i = 0; i < count; ++i) {
      upstream::EngineState engine;
      engine.seed.id = EngineId("e" + std::to_string(i));
      engine.seed.model = kModel;
      engine.report.version = 1;
      engine.reported = true;
      engines[engine.seed.id] = engine;
    }
    wire::MemberRecord self;
    self.id = DaemonId("d");
    ownership.assign({self}, engines);
    for (Instant now = kStart; now < kStart + std::chrono::seconds(60);
         now += std::chrono::seconds(3)) {
      for (const EngineId& id : ownership.onTick(now).claims) {
        ownership.onClaimDone(now, id, 9);
      }
    }
  }
  std::vector<weights::EngineOrder> tick(Instant now, const std::set<ModelName>& serving = {}) {
    return rollout.onTick(now, engines, ownership, serving);
  }
};

}  // namespace

Test(weight_rollout, engines_prefetch_and_then_flip_under_the_token) {
  Fixture fixture(1);
  cr_assert(fixture.tick(kStart).empty());
  cr_assert(fixture.rollout.onHead({kModel, 2}));
  cr_assert_not(fixture.rollout.onHead({kModel, 2}));
  const auto prefetch = fixture.tick(kStart);
  cr_assert(prefetch.at(0).order.kind == FencedOrder::Kind::kPrefetch);
  cr_assert_eq(prefetch[0].order.token, 9U);
  cr_assert(fixture.tick(kStart).empty(), "one order at a time");
  fixture.rollout.onOrderDone(kStart, EngineId("e0"), prefetch[0].order, OrderOutcome::kDone);
  const auto flip = fixture.tick(kStart);
  cr_assert(flip.at(0).order.kind == FencedOrder::Kind::kFlip);
  fixture.rollout.onOrderDone(kStart, EngineId("e0"), flip[0].order, OrderOutcome::kDone);
  cr_assert(fixture.tick(kStart).empty());
}

Test(weight_rollout, a_failed_swap_begins_again_after_a_pause) {
  Fixture fixture(1);
  fixture.rollout.onHead({kModel, 2});
  const auto prefetch = fixture.tick(kStart);
  fixture.rollout.onOrderDone(kStart, EngineId("e0"), prefetch[0].order, OrderOutcome::kDone);
  const auto flip = fixture.tick(kStart);
  fixture.rollout.onOrderDone(kStart, EngineId("e0"), flip[0].order, OrderOutcome::kFailed);
  cr_assert(fixture.tick(kStart).empty());
  const auto again = fixture.tick(kStart + std::chrono::seconds(1));
  cr_assert(again.at(0).order.kind == FencedOrder::Kind::kPrefetch);
}

Test(weight_rollout, an_engine_that_came_back_old_is_flipped_again) {
  Fixture fixture(1);
  fixture.rollout.onHead({kModel, 2});
  for (int i = 0; i < 2; ++i) {
    const auto orders = fixture.tick(kStart);
    fixture.rollout.onOrderDone(kStart, EngineId("e0"), orders.at(0).order, OrderOutcome::kDone);
  }
  cr_assert(fixture.tick(kStart).empty());
  cr_assert_eq(fixture.tick(kStart + std::chrono::seconds(10)).size(), 1U);
}

Test(weight_rollout, a_serving_pool_flips_one_by_one_and_a_rollout_pool_together) {
  for (const bool serving : {true, false}) {
    Fixture fixture(4);
    fixture.rollout.onHead({kModel, 2});
    const std::set<ModelName> models =
        serving ? std::set<ModelName>{kModel} : std::set<ModelName>{};
    for (const auto& due : fixture.tick(kStart, models)) {
      fixture.rollout.onOrderDone(kStart, due.engine, due.order, OrderOutcome::kDone);
    }
    cr_assert_eq(fixture.tick(kStart, models).size(), serving ? 1U : 4U);
  }
}
