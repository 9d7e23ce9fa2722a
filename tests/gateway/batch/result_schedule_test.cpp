#include "gateway/batch/result_schedule.h"

#include <criterion/criterion.h>

using namespace linenpier;
using batch::result_schedule;

namespace {
constexpr Instant kStart{std::chrono::seconds(50)};
constexpr Duration kMaxHold = std::chrono::seconds(1);
constexpr Duration kShortTime = std::chrono::milliseconds(300);
}  // namespace

Test(result_schedule, results_are_held_back_until_they_are_due) {
  result_schedule schedule(kStart, {kMaxHold});
  schedule.setDue(kStart + 5 * kMaxHold);
  const Instant now = kStart + kShortTime;
  cr_assert(schedule.publishAt(now, false) == kStart + 5 * kMaxHold);
  cr_assert(schedule.publishAt(now, true) == now);
  schedule.onPublished(now);
  cr_assert(schedule.publishAt(now, false) == kStart + 5 * kMaxHold);
}

Test(result_schedule, results_without_a_due_time_are_held_back_unless_urgent) {
  result_schedule schedule(kStart, {kMaxHold});
  const Instant now = kStart + kShortTime;
  cr_assert(schedule.publishAt(now, false) == kStart + kMaxHold);
  cr_assert(schedule.publishAt(now, true) == now);
  schedule.onPublished(now);
  cr_assert(schedule.publishAt(now, false) == now + kMaxHold);
  const Instant late = now + 3 * kMaxHold;
  cr_assert(schedule.publishAt(late, false) == late, "the maximum hold time has passed");
}

Test(result_schedule, results_finished_by_the_due_time_are_published_then) {
  result_schedule schedule(kStart, {kMaxHold});
  schedule.setDue(kStart + kShortTime);
  cr_assert(schedule.publishAt(kStart, false) == kStart + kShortTime);
  cr_assert(schedule.publishAt(kStart + 2 * kShortTime, false) == kStart + 2 * kShortTime);
  schedule.onPublished(kStart + 2 * kShortTime);
  cr_assert(schedule.publishAt(kStart + 2 * kShortTime, false) ==
            kStart + 2 * kShortTime + kMaxHold);
}

Test(result_schedule, finished_items_are_appended_before_they_are_published) {
  const batch::result_timing_options options;
  result_schedule schedule(kStart, options);
  schedule.setDue(kStart + std::chrono::seconds(8));
  cr_assert(schedule.appendAt(kStart, false) == kStart + options.append_interval);
  cr_assert(schedule.appendAt(kStart, true) == kStart, "they fill an append");
  schedule.onAppended(kStart + kShortTime);
  cr_assert(schedule.appendAt(kStart + kShortTime, false) ==
            kStart + kShortTime + options.append_interval);
  cr_assert(schedule.publishAt(kStart + kShortTime, false) == kStart + std::chrono::seconds(8));
}

Test(result_schedule, urgent_publications_keep_a_minimum_interval) {
  const batch::result_timing_options options;
  result_schedule schedule(kStart, options);
  schedule.onPublished(kStart);
  cr_assert(schedule.publishAt(kStart, true) == kStart + options.min_publish_interval);
}
