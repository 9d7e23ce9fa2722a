#include "batch/listing_schedule.h"

#include <criterion/criterion.h>

using namespace linenpier;
using batch::listing_schedule;

namespace {
constexpr Instant kBegun{std::chrono::seconds(50)};
constexpr Duration kGather = std::chrono::seconds(1);
constexpr Duration kMoment = std::chrono::milliseconds(300);
}  // namespace

Test(listing_schedule, results_are_gathered_until_they_are_due) {
  listing_schedule schedule(kBegun, kGather);
  schedule.setDue(kBegun + 5 * kGather);
  const Instant now = kBegun + kMoment;
  cr_assert(schedule.appendAt(now, false) == kBegun + 5 * kGather);
  cr_assert(schedule.appendAt(now, true) == now);
  schedule.onAppended(now);
  cr_assert(schedule.appendAt(now, false) == kBegun + 5 * kGather);
}

Test(listing_schedule, results_without_a_due_time_are_gathered_unless_they_are_urgent) {
  listing_schedule schedule(kBegun, kGather);
  const Instant now = kBegun + kMoment;
  cr_assert(schedule.appendAt(now, false) == kBegun + kGather);
  cr_assert(schedule.appendAt(now, true) == now);
  schedule.onAppended(now);
  cr_assert(schedule.appendAt(now, false) == now + kGather);
  const Instant late = now + 3 * kGather;
  cr_assert(schedule.appendAt(late, false) == late, "nothing is held back for longer");
}

Test(listing_schedule, what_is_finished_when_results_are_due_is_appended_then) {
  listing_schedule schedule(kBegun, kGather);
  schedule.setDue(kBegun + kMoment);
  cr_assert(schedule.appendAt(kBegun, false) == kBegun + kMoment);
  cr_assert(schedule.appendAt(kBegun + 2 * kMoment, false) == kBegun + 2 * kMoment);
  schedule.onAppended(kBegun + 2 * kMoment);
  cr_assert(schedule.appendAt(kBegun + 2 * kMoment, false) == kBegun + 2 * kMoment + kGather);
}
