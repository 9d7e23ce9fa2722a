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

/// Engines of one service as its leader sees them.
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

Test(version_rollout, no_order_before_the_engine_reported_its_sequence) {
  Fixture fixture(3);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 2);
  cr_assert(fixture.tick(kStart).empty());
  cr_assert_eq(fixture.rollout.reportsNeeded().size(), 3U);
  fixture.reportAll(kStart);
  const auto orders = fixture.tick(kStart);
  cr_assert_eq(orders.size(), 1U, "a third of the engines, at least one");
  cr_assert_eq(*orders[0].expected_sequence, 0U);
}

Test(version_rollout, obsolete_engines_load_two_at_a_time) {
  Fixture fixture(4);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 3);
  fixture.reportAll(kStart, 4);
  cr_assert_eq(fixture.tick(kStart).size(), 2U);
  cr_assert(fixture.tick(kStart).empty(), "pending orders count as loading");
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

Test(version_rollout, runs_are_cancelled_only_if_other_engines_have_free_slots) {
  Fixture fixture(4);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 3);
  fixture.reportAll(kStart, 1);
  cr_assert_eq(fixture.tick(kStart).at(0).mode, LoadMode::kCancel);
  Fixture full(4);
  full.rollout.onVersionAnnounced(kStart, kModel, 3);
  full.reportAll(kStart, 4);
  cr_assert_eq(full.tick(kStart).at(0).mode, LoadMode::kRetain);
}

Test(version_rollout, an_unanswered_order_is_repeated_with_the_same_sequence) {
  Fixture fixture(1);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 2);
  fixture.reportAll(kStart);
  const version_order first = fixture.tick(kStart).at(0);
  fixture.rollout.onAnswer(kStart, first, OrderResult::kUnknown);
  cr_assert(fixture.tick(kStart).empty());
  const auto again = fixture.tick(kStart + std::chrono::seconds(1));
  cr_assert_eq(again.at(0).expected_sequence, first.expected_sequence,
               "at most one of both may be executed");
}

// Guards against a refusal that settles an earlier order, which may have been executed.
Test(version_rollout, an_order_refused_after_an_unanswered_one_requires_a_new_report) {
  for (const OrderResult refusal : {OrderResult::kBusy, OrderResult::kRejected}) {
    Fixture fixture(1);
    fixture.rollout.onVersionAnnounced(kStart, kModel, 2);
    fixture.reportAll(kStart);
    fixture.rollout.onAnswer(kStart, fixture.tick(kStart).at(0), OrderResult::kUnknown);
    const Instant repeated_at = kStart + std::chrono::seconds(1);
    fixture.rollout.onAnswer(repeated_at, fixture.tick(repeated_at).at(0), refusal);
    const Instant later = kStart + std::chrono::seconds(5);
    cr_assert(fixture.tick(later).empty());
    cr_assert_eq(fixture.rollout.reportsNeeded().size(), 1U);
    fixture.rollout.onReport(later, EngineId("e0"), {fixture.states[0].record.start, 1, false, 0});
    cr_assert_eq(fixture.tick(later).at(0).expected_sequence, 1U, "the first order was executed");
  }
}

Test(version_rollout, an_engines_response_overrides_discovery_for_a_time) {
  Fixture fixture(1);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 2);
  fixture.reportAll(kStart);
  const version_order order = fixture.tick(kStart).at(0);
  fixture.rollout.onAnswer(kStart, order, OrderResult::kStarted);
  cr_assert(fixture.tick(kStart + std::chrono::seconds(2)).empty());
  cr_assert_eq(fixture.tick(kStart + std::chrono::seconds(5)).size(), 1U,
               "the engine may have restarted with the old version");
}

Test(version_rollout, a_fenced_order_requires_a_new_report) {
  Fixture fixture(1);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 2);
  fixture.reportAll(kStart);
  fixture.rollout.onAnswer(kStart, fixture.tick(kStart).at(0), OrderResult::kFenced);
  cr_assert(fixture.tick(kStart + std::chrono::seconds(3)).empty());
  cr_assert_eq(fixture.rollout.reportsNeeded().size(), 1U);
}

Test(version_rollout, a_large_service_loads_a_share_of_its_engines_concurrently) {
  Fixture fixture(45);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 3);
  fixture.reportAll(kStart, 4);
  cr_assert_eq(fixture.tick(kStart).size(), 9U);
}

Test(version_rollout, report_requests_per_tick_are_limited) {
  Fixture fixture(100);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 2);
  fixture.tick(kStart);
  const std::size_t asked = fixture.rollout.reportsNeeded().size();
  cr_assert_eq(asked, 24U);
  for (const engine_state* engine : fixture.rollout.reportsNeeded()) {
    fixture.rollout.onReportRequested(kStart, engine->record.id);
  }
  fixture.tick(kStart);
  cr_assert_eq(fixture.rollout.reportsNeeded().size(), 24U, "the next engines");
}

Test(version_rollout, a_large_service_loads_a_version_first_on_the_engines_that_work_needs) {
  Fixture fixture(200);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 3);
  fixture.reportAll(kStart, 4);
  cr_assert_eq(fixture.tick(kStart, {kModel}, 20).size(), 24U);
  const Instant settled_at = kStart + std::chrono::seconds(9);
  fixture.reportAll(settled_at, 4);
  cr_assert_eq(fixture.tick(settled_at, {kModel}, 20).size(), 16U,
               "later on all engines, 40 concurrently");
}

Test(version_rollout, busy_engines_with_single_version_texts_wait_until_obsolete) {
  Fixture fixture(3);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 2);
  const Instant later = kStart + std::chrono::seconds(3);
  fixture.reportAll(later, 4);
  cr_assert(fixture.tick(later, {kModel}, 100, true).empty(), "busy, but not obsolete");
  fixture.reportAll(later, 0);
  cr_assert_eq(fixture.tick(later, {kModel}, 100, true).size(), 1U, "quiet");
  Fixture obsolete(3);
  obsolete.rollout.onVersionAnnounced(kStart, kModel, 3);
  obsolete.reportAll(kStart, 4);
  cr_assert_eq(obsolete.tick(kStart, {kModel}, 100, true).size(), 2U);
}

Test(version_rollout, single_version_texts_are_finished_before_a_load) {
  Fixture fixture(4);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 3);
  fixture.reportAll(kStart, 4);
  const auto orders = fixture.tick(kStart, {kModel}, 1000, true);
  cr_assert_eq(orders.size(), 2U, "the engines are obsolete");
  for (const version_order& order : orders) cr_assert(order.mode == LoadMode::kWait);
}

Test(version_rollout, an_awaited_engine_is_skipped_while_the_version_is_new) {
  Fixture fixture(4);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 3);
  fixture.reportAll(kStart, 1);
  const std::set<EngineId> awaited = {EngineId("e0")};
  Instant now = kStart;
  std::set<EngineId> loaded;
  for (; now < kStart + versions::rollout_options{}.busy_timeout; now += std::chrono::seconds(1)) {
    fixture.reportAll(now, 1);
    for (const version_order& order : fixture.tick(now, {kModel}, 1000, false, awaited)) {
      fixture.rollout.onAnswer(now, order, OrderResult::kAlreadyLoaded);
      loaded.insert(order.engine);
    }
  }
  cr_assert_eq(loaded.size(), 3U, "all but the awaited engine");
  cr_assert_not(loaded.contains(EngineId("e0")));
  fixture.reportAll(now, 1);
  const auto orders = fixture.tick(now, {kModel}, 1000, false, awaited);
  cr_assert_not(orders.empty(), "an older version is loaded on every engine");
}

Test(version_rollout, at_most_a_third_of_the_engines_is_skipped_as_awaited) {
  Fixture fixture(3);
  fixture.rollout.onVersionAnnounced(kStart, kModel, 3);
  fixture.reportAll(kStart, 1);
  const std::set<EngineId> awaited = {EngineId("e0"), EngineId("e1"), EngineId("e2")};
  const auto orders = fixture.tick(kStart, {kModel}, 1000, false, awaited);
  cr_assert_eq(orders.size(), 2U, "a third is skipped");
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

Test(version_rollout, loads_and_report_requests_do_not_grow_with_the_service) {
  std::vector<std::size_t> loads;
  std::vector<std::size_t> asked;
  for (const int size : {2000, 4000}) {
    Fixture fixture(size);
    fixture.rollout.onVersionAnnounced(kStart, kModel, 3);
    std::size_t ordered = 0;
    std::size_t requested = 0;
    // Within the discovery lag, during which the list does not show the new versions.
    for (Instant now = kStart; now < kStart + std::chrono::seconds(3); now += 6 * kMoment) {
      for (const version_order& order : fixture.tick(now, {kModel}, 200)) {
        ++ordered;
        fixture.rollout.onAnswer(now, order, OrderResult::kStarted);
      }
      for (const engine_state* engine : fixture.rollout.reportsNeeded()) {
        ++requested;
        fixture.rollout.onReportRequested(now, engine->record.id);
        fixture.rollout.onReport(now, engine->record.id, {0, 0, false, 0});
      }
    }
    loads.push_back(ordered);
    asked.push_back(requested);
  }
  cr_assert_eq(loads[0], 63U, "headroom of a quarter over 200 items: %zu", loads[0]);
  cr_assert_eq(loads[1], loads[0]);
  cr_assert_eq(asked[1], asked[0]);
}

// --- Engine restarts ----------------------------------------------------------------------------

Test(version_rollout, a_restarted_engine_starts_a_new_sequence) {
  Fixture fixture(1);
  fixture.states[0].record.start = 1000;
  fixture.rollout.onVersionAnnounced(kStart, kModel, 2);
  fixture.rollout.onReport(kStart, EngineId("e0"), {1000, 7, false, 0});
  const version_order order = fixture.tick(kStart).at(0);
  cr_assert_eq(*order.expected_sequence, 7U);
  fixture.states[0].record.start = 2000;
  cr_assert(fixture.tick(kStart + kMoment).empty(), "the sequence is unknown");
  fixture.rollout.onAnswer(kStart + kMoment, order, OrderResult::kStarted);
  fixture.rollout.onReport(kStart + kMoment, EngineId("e0"), {1000, 8, false, 0});
  cr_assert(fixture.tick(kStart + kMoment).empty(), "reports of the earlier start are ignored");
  fixture.rollout.onReport(kStart + kMoment, EngineId("e0"), {2000, 0, false, 0});
  const auto again = fixture.tick(kStart + 2 * kMoment);
  cr_assert_eq(again.size(), 1U);
  cr_assert_eq(*again.at(0).expected_sequence, 0U);
}
