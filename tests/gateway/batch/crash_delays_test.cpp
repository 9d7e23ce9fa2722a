/// @file
/// Delays of items after engine crashes.

#include "gateway/batch/crash_delays.h"

#include <criterion/criterion.h>

#include "gateway/batch/batch_run.h"

using namespace linenpier;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};

batch::batch_run oneItem() {
  batch::batch_job job;
  job.items.resize(1);
  return batch::batch_run(job, {});
}

/// Starts the item and interrupts its run. @return the delay after the engine's crash.
Duration crash(batch::batch_run& run, Instant now, Duration ran) {
  run.onStarted(now, 0, EngineId("e"));
  run.onInterrupted(now + ran, 0, Duration::zero());
  return run.onEngineCrashed(now + ran, 0, ran, {});
}

}  // namespace

// Guards against a delay that exceeds the time within which an item must be started.
Test(crash_delays, each_delay_is_shorter_than_the_time_after_which_an_item_counts_as_lost) {
  const batch::crash_delays delays;
  cr_assert(delays.after(1) == Duration::zero());
  cr_assert(delays.after(2) == std::chrono::seconds(1));
  cr_assert(delays.after(3) == std::chrono::seconds(2));
  for (int crashes = 4; crashes < 100; ++crashes)
    cr_assert(delays.after(crashes) == std::chrono::seconds(4));
}

Test(crash_delays, an_item_starts_again_after_its_delay) {
  batch::batch_run run = oneItem();
  crash(run, kStart, std::chrono::milliseconds(20));
  cr_assert(run.nextToStart(kStart + std::chrono::milliseconds(20)).has_value());
  const Instant second = kStart + std::chrono::milliseconds(20);
  crash(run, second, std::chrono::milliseconds(20));
  cr_assert_not(run.nextToStart(second + std::chrono::milliseconds(1000)).has_value());
  cr_assert(run.nextToStart(second + std::chrono::milliseconds(1020)).has_value());
}

Test(crash_delays, a_crash_long_after_the_start_says_nothing_of_the_item) {
  batch::batch_run run = oneItem();
  for (int i = 0; i < 3; ++i)
    crash(run, kStart + std::chrono::seconds(i * 10), std::chrono::milliseconds(20));
  cr_assert_eq(run.progress(0).engine_crashes, 3);
  const Duration delay = crash(run, kStart + std::chrono::seconds(60), std::chrono::seconds(4));
  cr_assert(delay == Duration::zero());
  cr_assert_eq(run.progress(0).engine_crashes, 0);
}
