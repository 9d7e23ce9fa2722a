#include "gateway/versions/version_rollout.h"

#include <criterion/criterion.h>

using namespace linenpier;
using engines::engine_state;
using versions::LoadMode;
using versions::OrderResult;
using versions::version_order;
using versions::version_rollout;

namespace {

const ModelName kModel("m");
const ModelName kOtherModel("n");
constexpr Instant kStart{std::chrono::seconds(100)};
constexpr Duration kMoment = std::chrono::milliseconds(10);

/// Engines of one service as the leader of its lock sees them.
struct Fixture {
  std::vector<engine_state> states;
  version_rollout rollout{{}};

  explicit Fixture(int count, WeightVersion version = 1) {
    for (int i = 0; i < count; ++i) {
      engine_state state;
      state.record.id = EngineId("e" + std::to_string(i));
      state.record.slots = 4;
      state.record.models[kModel] = version;
      state.record.models[kOtherModel] = version;
      states.push_back(state);
    }
  }
  engines::engine_list list() const {
    engines::engine_list engines;
    for (const engine_state& state : states) engines[state.record.id] = &state;
    return engines;
  }
  std::vector<version_order> tick(Instant now, const std::set<ModelName>& models = {kModel},
                                  std::size_t open_items = 1000, bool single_version = false,
                                  const std::set<EngineId>& awaited = {}) {
    versions::open_work_by_model work;
    for (const ModelName& model : models) work[model] = {open_items, single_version};
    return rollout.onTick(now, list(), work, awaited);
  }
  void reportAll(Instant now, std::uint32_t load = 0) {
    for (const engine_state& state : states)
      rollout.onReport(now, state.record.id, {state.record.start, 0, false, load});
  }
};

}  // namespace

Test(version_rollout, nothing_is_ordered_before_the_engine_has_told_its_sequence) {
  Fixture fixture(3);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 2);
  cr_assert(fixture.tick(kStart).empty());
  cr_assert_eq(fixture.rollout.reportsNeeded().size(), 3U);
  fixture.reportAll(kStart);
  const auto orders = fixture.tick(kStart);
  cr_assert_eq(orders.size(), 1U, "a third of the engines at once");
  cr_assert_eq(*orders[0].expected_sequence, 0U);
}

Test(version_rollout, engines_of_no_use_to_the_newest_step_load_at_once_two_at_a_time) {
  Fixture fixture(4);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 3);
  fixture.reportAll(kStart, 4);
  cr_assert_eq(fixture.tick(kStart).size(), 2U);
  cr_assert(fixture.tick(kStart).empty(), "they count while they are being sent");
}

Test(version_rollout, busy_engines_wait_while_the_version_is_new) {
  Fixture fixture(4);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 2);
  fixture.reportAll(kStart, 4);
  cr_assert(fixture.tick(kStart).empty());
  const Instant later = kStart + versions::rollout_options{}.busy_timeout;
  fixture.reportAll(later - kMoment, 4);
  cr_assert(fixture.tick(later - kMoment).empty(), "still new");
  fixture.reportAll(later, 4);
  cr_assert_eq(fixture.tick(later).size(), 1U);
}

Test(version_rollout, runs_are_reset_only_where_the_others_have_room) {
  Fixture fixture(4);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 3);
  fixture.reportAll(kStart, 1);
  cr_assert_eq(fixture.tick(kStart).at(0).mode, LoadMode::kCancel);
  Fixture full(4);
  full.rollout.onVersionAnnounced(kStart, kModel, 3);
  full.reportAll(kStart, 4);
  cr_assert_eq(full.tick(kStart).at(0).mode, LoadMode::kRetain);
}

Test(version_rollout, an_unanswered_order_is_sent_again_under_the_same_sequence) {
  Fixture fixture(1);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 2);
  fixture.reportAll(kStart);
  const version_order first = fixture.tick(kStart).at(0);
  fixture.rollout.onAnswer(kStart, first, OrderResult::kUnknown);
  cr_assert(fixture.tick(kStart).empty());
  const auto again = fixture.tick(kStart + std::chrono::seconds(1));
  cr_assert_eq(again.at(0).expected_sequence, first.expected_sequence,
               "so that at most one of both is carried out");
}

Test(version_rollout, the_engines_own_answer_counts_before_discovery_shows_it) {
  Fixture fixture(1);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 2);
  fixture.reportAll(kStart);
  const version_order order = fixture.tick(kStart).at(0);
  fixture.rollout.onAnswer(kStart, order, OrderResult::kStarted);
  cr_assert(fixture.tick(kStart + std::chrono::seconds(2)).empty());
  cr_assert_eq(fixture.tick(kStart + std::chrono::seconds(5)).size(), 1U,
               "but not for ever: the engine may have come back old");
}

Test(version_rollout, a_fenced_holder_asks_anew_before_it_goes_on) {
  Fixture fixture(1);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 2);
  fixture.reportAll(kStart);
  fixture.rollout.onAnswer(kStart, fixture.tick(kStart).at(0), OrderResult::kFenced);
  cr_assert(fixture.tick(kStart + std::chrono::seconds(3)).empty());
  cr_assert_eq(fixture.rollout.reportsNeeded().size(), 1U);
}

Test(version_rollout, a_large_service_loads_a_share_of_its_engines_at_once) {
  Fixture fixture(45);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 3);
  fixture.reportAll(kStart, 4);
  cr_assert_eq(fixture.tick(kStart).size(), 9U);
}

Test(version_rollout, only_some_engines_are_asked_for_their_state_at_a_time) {
  Fixture fixture(100);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 2);
  fixture.tick(kStart);
  const std::size_t asked = fixture.rollout.reportsNeeded().size();
  cr_assert_eq(asked, 24U);
  for (const engine_state* engine : fixture.rollout.reportsNeeded()) {
    fixture.rollout.onReportRequested(kStart, engine->record.id);
  }
  fixture.tick(kStart);
  cr_assert_eq(fixture.rollout.reportsNeeded().size(), 24U, "the next ones");
}

Test(version_rollout, a_large_service_brings_a_new_version_to_as_many_engines_as_work_needs) {
  Fixture fixture(200);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 3);
  fixture.reportAll(kStart, 4);
  cr_assert_eq(fixture.tick(kStart, {kModel}, 20).size(), 24U);
  const Instant settled = kStart + std::chrono::seconds(9);
  fixture.reportAll(settled, 4);
  cr_assert_eq(fixture.tick(settled, {kModel}, 20).size(), 16U,
               "in the end to all of them, 40 at once");
}

Test(version_rollout, engines_that_make_texts_of_one_version_are_left_until_they_are_of_no_use) {
  Fixture fixture(3);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 2);
  const Instant later = kStart + std::chrono::seconds(3);
  fixture.reportAll(later, 4);
  cr_assert(fixture.tick(later, {kModel}, 100, true).empty(), "busy, and still of use");
  fixture.reportAll(later, 0);
  cr_assert_eq(fixture.tick(later, {kModel}, 100, true).size(), 1U, "quiet");
  Fixture of_no_use(3);
  of_no_use.rollout.onVersionAnnounced(kStart, kModel, 3);
  of_no_use.reportAll(kStart, 4);
  cr_assert_eq(of_no_use.tick(kStart, {kModel}, 100, true).size(), 2U);
}

Test(version_rollout, texts_that_one_version_must_make_end_before_their_engine_loads) {
  Fixture fixture(4);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 3);
  fixture.reportAll(kStart, 4);
  const auto orders = fixture.tick(kStart, {kModel}, 1000, true);
  cr_assert_eq(orders.size(), 2U, "they are of no use to the newest step");
  for (const version_order& order : orders) cr_assert(order.mode == LoadMode::kWait);
}

Test(version_rollout, an_engine_that_a_step_waits_for_is_left_alone_while_the_version_is_new) {
  Fixture fixture(4);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 3);
  fixture.reportAll(kStart, 1);
  const std::set<EngineId> awaited = {EngineId("e0")};
  Instant now = kStart;
  std::set<EngineId> changed;
  for (; now < kStart + versions::rollout_options{}.busy_timeout; now += std::chrono::seconds(1)) {
    fixture.reportAll(now, 1);
    for (const version_order& order : fixture.tick(now, {kModel}, 1000, false, awaited)) {
      fixture.rollout.onAnswer(now, order, OrderResult::kAlreadyLoaded);
      changed.insert(order.engine);
    }
  }
  cr_assert_eq(changed.size(), 3U, "all but the one");
  cr_assert_not(changed.contains(EngineId("e0")));
  fixture.reportAll(now, 1);
  const auto orders = fixture.tick(now, {kModel}, 1000, false, awaited);
  cr_assert_not(orders.empty(), "a version that is not new comes to every engine");
}

Test(version_rollout, most_engines_of_a_model_change_whatever_is_waited_for) {
  Fixture fixture(3);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 3);
  fixture.reportAll(kStart, 1);
  const std::set<EngineId> awaited = {EngineId("e0"), EngineId("e1"), EngineId("e2")};
  const auto orders = fixture.tick(kStart, {kModel}, 1000, false, awaited);
  cr_assert_eq(orders.size(), 2U, "a third is left alone");
}

Test(version_rollout, an_engine_with_one_run_left_is_not_quiet) {
  Fixture fixture(4);
  for (engine_state& state : fixture.states) state.record.slots = 8;
  fixture.rollout.onVersionAnnounced(kStart, kModel, 2);
  fixture.reportAll(kStart, 1);
  cr_assert(fixture.tick(kStart).empty());
  fixture.reportAll(kStart + kMoment, 0);
  cr_assert_eq(fixture.tick(kStart + kMoment).size(), 1U);
}

Test(version_rollout, a_version_costs_as_many_loads_and_questions_in_a_service_twice_as_large) {
  std::vector<std::size_t> loads;
  std::vector<std::size_t> asked;
  for (const int size : {2000, 4000}) {
    Fixture fixture(size);
    fixture.rollout.onVersionAnnounced(kStart, kModel, 3);
    std::size_t ordered = 0;
    std::size_t questions = 0;
    // Shorter than discovery may take to show a load.
    for (Instant now = kStart; now < kStart + std::chrono::seconds(3); now += 6 * kMoment) {
      for (const version_order& order : fixture.tick(now, {kModel}, 200)) {
        ++ordered;
        fixture.rollout.onAnswer(now, order, OrderResult::kStarted);
      }
      for (const engine_state* engine : fixture.rollout.reportsNeeded()) {
        ++questions;
        fixture.rollout.onReportRequested(now, engine->record.id);
        fixture.rollout.onReport(now, engine->record.id, {0, 0, false, 0});
      }
    }
    loads.push_back(ordered);
    asked.push_back(questions);
  }
  cr_assert_eq(loads[0], 63U, "a quarter more than 200 items fill: %zu", loads[0]);
  cr_assert_eq(loads[1], loads[0]);
  cr_assert_eq(asked[1], asked[0]);
}

// --- Engines that start again -------------------------------------------------------------------

Test(version_rollout, an_engine_that_started_again_has_taken_no_orders) {
  Fixture fixture(1);
  fixture.states[0].record.start = 1000;
  fixture.rollout.onVersionAnnounced(kStart, kModel, 2);
  fixture.rollout.onReport(kStart, EngineId("e0"), {1000, 7, false, 0});
  const version_order order = fixture.tick(kStart).at(0);
  cr_assert_eq(*order.expected_sequence, 7U);
  fixture.states[0].record.start = 2000;
  cr_assert(fixture.tick(kStart + kMoment).empty(), "its sequence is not known");
  fixture.rollout.onAnswer(kStart + kMoment, order, OrderResult::kStarted);
  fixture.rollout.onReport(kStart + kMoment, EngineId("e0"), {1000, 8, false, 0});
  cr_assert(fixture.tick(kStart + kMoment).empty(), "what the earlier start says is of no matter");
  fixture.rollout.onReport(kStart + kMoment, EngineId("e0"), {2000, 0, false, 0});
  const auto again = fixture.tick(kStart + 2 * kMoment);
  cr_assert_eq(again.size(), 1U);
  cr_assert_eq(*again.at(0).expected_sequence, 0U);
}
