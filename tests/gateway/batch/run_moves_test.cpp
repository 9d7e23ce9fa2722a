#include "gateway/batch/run_moves.h"

#include <criterion/criterion.h>

#include "support/engine_lists.h"

using namespace linenpier;
using batch::batch_run;
using batch::item_run;
using engines::engine_record;
using engines::engine_registry;

namespace {

const ServiceName kService("s");
constexpr Instant kStart{std::chrono::seconds(100)};
constexpr Instant kLater = kStart + std::chrono::seconds(2);
const EngineId kSlow("slow");
const EngineId kQuick("quick");
const batch::run_move_rules kRules{1.15, std::chrono::milliseconds(250), std::chrono::seconds(1)};

engine_record record(const EngineId& id) {
  engine_record made;
  made.id = id;
  made.service = kService;
  made.slots = 4;
  return made;
}

/** A registry with one engine that is half as fast as the two others. */
engine_registry registry() {
  engine_registry made(ZoneName("z"), {}, 1);
  test::listEngines(made, kStart, {record(kSlow), record(kQuick), record(EngineId("quick2"))});
  made.onEventTime(kLater, kSlow, std::chrono::milliseconds(100));
  made.onEventTime(kLater, kQuick, std::chrono::milliseconds(50));
  made.onEventTime(kLater, EngineId("quick2"), std::chrono::milliseconds(50));
  return made;
}

batch_run twoItems() {
  batch::batch_job job;
  job.items.resize(2);
  job.items[0].length_hint = 10;
  job.items[1].length_hint = 1000;
  return batch_run(job, {});
}

engines::engine_request wanted() {
  engines::engine_request made;
  made.service = kService;
  made.excluded.insert(kSlow);
  return made;
}

}  // namespace

Test(run_moves, runs_on_slow_engines_may_be_moved_longest_first) {
  const std::vector<item_run> runs = {{0, kSlow, kStart}, {1, kSlow, kStart}, {1, kQuick, kStart}};
  const batch_run run = twoItems();
  const auto movable = batch::movableRuns(kLater, registry(), run.job(), runs, kRules);
  cr_assert_eq(movable.size(), 2U);
  cr_assert_eq(movable[0].item, 1U);
}

Test(run_moves, a_recently_started_run_is_not_moved) {
  const batch_run run = twoItems();
  const auto movable =
      batch::movableRuns(kLater, registry(), run.job(), {{1, kSlow, kLater}}, kRules);
  cr_assert(movable.empty());
}

Test(run_moves, a_run_is_moved_only_if_the_saving_exceeds_the_cost) {
  engine_registry engines = registry();
  batch::length_estimator lengths;
  lengths.onFinished(100, 10);
  const batch_run run = twoItems();
  const auto long_run =
      batch::planMove(kLater, engines, lengths, run, {1, kSlow, kStart}, wanted(), kRules);
  cr_assert(long_run.has_value(), "saves 50 ms for each of 100 events");
  cr_assert_neq(long_run->target.str(), "slow");
  const auto short_run =
      batch::planMove(kLater, engines, lengths, run, {0, kSlow, kStart}, wanted(), kRules);
  cr_assert_not(short_run.has_value(), "only one event is left");
}
