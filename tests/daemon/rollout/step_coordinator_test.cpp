#include "daemon/rollout/step_coordinator.h"

#include <criterion/criterion.h>

using namespace linenpier;
using rollout::Sample;
using rollout::StepCoordinator;
using wire::PullStatus;

namespace {

const wire::StepKey kStep{TenantId("t"), TrainerId("r"), 4};
const ModelName kModel("m");

struct Fixture {
  StepCoordinator coordinator{{}};
  Instant now{std::chrono::seconds(100)};
  std::map<ModelName, std::vector<rollout::ZoneCapacity>> capacity{{kModel, {{ZoneName("z"), 8}}}};

  explicit Fixture(std::uint32_t samples, std::uint32_t bound = 1,
                   const std::vector<Sample>& stored = {}) {
    cr_assert(coordinator.onNotice(now, kStep));
    rollout::StepSpec spec{kStep, kModel, 100, {{"prompt", samples}}};
    coordinator.onStepRead(now, kStep, rollout::StepRow{}, spec, stored, bound);
  }
  StepCoordinator::Work tick(int milliseconds = 100) {
    now += std::chrono::milliseconds(milliseconds);
    return coordinator.onTick(now, capacity);
  }
  void finish(const wire::SampleKey& key, WeightVersion version) {
    coordinator.onResult(now, {key, true, "text", {{version, 3}}});
  }
};

}  // namespace

Test(step_coordinator, a_whole_step_is_committed_when_it_is_pulled) {
  Fixture fixture(2);
  const auto orders = fixture.tick().orders;
  cr_assert_eq(orders.size(), 2U);
  for (const auto& order : orders) fixture.finish(order.order.sample, 5);
  cr_assert(fixture.tick().commits.empty(), "nobody has pulled yet");
  cr_assert(fixture.coordinator.onPull(fixture.now, kStep, 6) == PullStatus::kPending);
  const auto commits = fixture.tick().commits;
  cr_assert_eq(commits.size(), 1U);
  cr_assert_eq(commits[0].trainer_version, 6U);
  cr_assert(fixture.tick().commits.empty(), "a commit is ordered once");
  fixture.coordinator.onCommitDone(fixture.now, kStep, true, false);
  cr_assert(fixture.coordinator.onPull(fixture.now, kStep, 6) == PullStatus::kCommitted);
}

Test(step_coordinator, a_sample_too_old_for_the_pull_is_made_again) {
  Fixture fixture(1);
  fixture.finish(fixture.tick().orders[0].order.sample, 5);
  fixture.coordinator.onPull(fixture.now, kStep, 7);
  const auto work = fixture.tick();
  cr_assert(work.commits.empty());
  cr_assert_eq(work.orders.size(), 1U);
  cr_assert_eq(work.orders[0].order.sample.attempt, 1U);
  cr_assert_eq(work.orders[0].order.minimum_version, 6U);
  cr_assert_eq(fixture.coordinator.status().replaced_stale, 1U);
}

Test(step_coordinator, a_sample_is_replaced_early_when_new_weights_make_it_too_old) {
  Fixture fixture(1, 0);
  const auto key = fixture.tick().orders[0].order.sample;
  fixture.coordinator.onProgress(fixture.now, DaemonId("maker"), {{{key, 2, 5}}});
  fixture.coordinator.onModelHead(kModel, 6);
  const auto work = fixture.tick();
  cr_assert_eq(work.cancels.size(), 1U);
  cr_assert(work.cancels[0].first == DaemonId("maker"));
  cr_assert_eq(work.orders.size(), 1U);
}

Test(step_coordinator, a_silent_sample_is_ordered_again_and_either_result_serves_once) {
  Fixture fixture(1);
  const auto first = fixture.tick().orders[0].order.sample;
  const auto second = fixture.tick(3000).orders.at(0).order.sample;
  cr_assert_eq(second.attempt, 1U);
  fixture.finish(first, 5);
  fixture.finish(second, 5);
  fixture.coordinator.onPull(fixture.now, kStep, 5);
  const auto commits = fixture.tick().commits;
  cr_assert_eq(commits.at(0).samples.size(), 1U);
  cr_assert(commits[0].samples[0].key == first);
}

Test(step_coordinator, a_new_coordinator_uses_stored_samples_and_adopts_running_ones) {
  const Sample stored{{kStep, 0, 2}, "text", {{5, 3}}};
  Fixture fixture(3, 1, {stored});
  cr_assert(fixture.tick().orders.empty(), "it waits for makers to report");
  const wire::SampleKey running{kStep, 1, 4};
  fixture.coordinator.onProgress(fixture.now, DaemonId("maker"), {{{running, 9, 5}}});
  const auto orders = fixture.tick(1300).orders;
  cr_assert_eq(orders.size(), 1U, "only the sample that nobody makes");
  cr_assert_eq(orders[0].order.sample.index, 2U);
}

Test(step_coordinator, a_committed_row_found_on_reading_ends_the_step) {
  StepCoordinator coordinator({});
  coordinator.onNotice(Instant{}, kStep);
  rollout::StepRow row;
  row.state = rollout::StepRow::State::kCommitted;
  coordinator.onStepRead(Instant{}, kStep, row, std::nullopt, {}, 1);
  cr_assert(coordinator.onPull(Instant{}, kStep, 9) == PullStatus::kCommitted);
}

Test(step_coordinator, a_trainer_that_moved_on_is_refused) {
  Fixture fixture(1);
  fixture.coordinator.onPull(fixture.now, kStep, 5);
  fixture.coordinator.onCommitDone(fixture.now, kStep, false, true);
  cr_assert(fixture.coordinator.onPull(fixture.now, kStep, 5) == PullStatus::kRefused);
}

Test(step_coordinator, orders_stay_within_the_pool) {
  Fixture fixture(100);
  cr_assert_leq(fixture.tick().orders.size(), 11U);
}

Test(step_coordinator, samples_for_a_later_step_count_on_the_versions_published_before_it) {
  Fixture fixture(1);
  fixture.finish(fixture.tick().orders[0].order.sample, 5);
  fixture.coordinator.onPull(fixture.now, kStep, 5);
  fixture.tick();
  fixture.coordinator.onCommitDone(fixture.now, kStep, true, false);
  wire::StepKey next = kStep;
  next.step += 1;
  fixture.coordinator.onNotice(fixture.now, next);
  const rollout::StepSpec spec{next, kModel, 100, {{"prompt", 1}}};
  fixture.coordinator.onStepRead(fixture.now, next, rollout::StepRow{}, spec, {}, 1);
  fixture.coordinator.onModelHead(kModel, 5);
  // The trainer trains now and will pull the next step at version 6.
  cr_assert_eq(fixture.tick().orders.at(0).order.minimum_version, 5U);
}
