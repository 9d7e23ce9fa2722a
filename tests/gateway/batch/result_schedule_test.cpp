#include "gateway/batch/result_schedule.h"

#include <criterion/criterion.h>

using namespace linenpier;
using batch::result_schedule;

namespace {
constexpr Instant kBegun{std::chrono::seconds(50)};
constexpr Duration kMaxHold = std::chrono::seconds(1);
constexpr Duration kMoment = std::chrono::milliseconds(300);
}  // namespace

Test(result_schedule, results_are_gathered_until_they_are_due) {
  result_schedule schedule(kBegun, {kMaxHold});
  schedule.setDue(kBegun + 5 * kMaxHold);
  const Instant now = kBegun + kMoment;
  cr_assert(schedule.publishAt(now, false) == kBegun + 5 * kMaxHold);
  cr_assert(schedule.publishAt(now, true) == now);
  schedule.onPublished(now);
  cr_assert(schedule.publishAt(now, false) == kBegun + 5 * kMaxHold);
}

Test(result_schedule, results_without_a_due_time_are_gathered_unless_they_are_urgent) {
  result_schedule schedule(kBegun, {kMaxHold});
  const Instant now = kBegun + kMoment;
  cr_assert(schedule.publishAt(now, false) == kBegun + kMaxHold);
  cr_assert(schedule.publishAt(now, true) == now);
  schedule.onPublished(now);
  cr_assert(schedule.publishAt(now, false) == now + kMaxHold);
  const Instant late = now + 3 * kMaxHold;
  cr_assert(schedule.publishAt(late, false) == late, "nothing is held back for longer");
}

Test(result_schedule, what_is_finished_when_results_are_due_is_released_then) {
  result_schedule schedule(kBegun, {kMaxHold});
  schedule.setDue(kBegun + kMoment);
  cr_assert(schedule.publishAt(kBegun, false) == kBegun + kMoment);
  cr_assert(schedule.publishAt(kBegun + 2 * kMoment, false) == kBegun + 2 * kMoment);
  schedule.onPublished(kBegun + 2 * kMoment);
  cr_assert(schedule.publishAt(kBegun + 2 * kMoment, false) == kBegun + 2 * kMoment + kMaxHold);
}

Test(result_schedule, finished_items_are_appended_soon_whether_or_not_they_are_released) {
  const batch::result_timing_options options;
  result_schedule schedule(kBegun, options);
  schedule.setDue(kBegun + std::chrono::seconds(8));
  cr_assert(schedule.appendAt(kBegun, false) == kBegun + options.append_interval);
  cr_assert(schedule.appendAt(kBegun, true) == kBegun, "they fill an append");
  schedule.onAppended(kBegun + kMoment);
  cr_assert(schedule.appendAt(kBegun + kMoment, false) ==
            kBegun + kMoment + options.append_interval);
  cr_assert(schedule.publishAt(kBegun + kMoment, false) == kBegun + std::chrono::seconds(8));
}

Test(result_schedule, urgent_releases_keep_a_small_distance) {
  const batch::result_timing_options options;
  result_schedule schedule(kBegun, options);
  schedule.onPublished(kBegun);
  cr_assert(schedule.publishAt(kBegun, true) == kBegun + options.min_publish_interval);
}
