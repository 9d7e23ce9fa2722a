#include "gateway/batch/run_timeouts.h"

#include <criterion/criterion.h>

using namespace linenpier;
using batch::run_timeouts;

Test(run_timeouts, the_first_event_timeout_doubles_up_to_its_maximum) {
  const run_timeouts timeouts;
  cr_assert(timeouts.forFirstEvent(0) == timeouts.first_event);
  cr_assert(timeouts.forFirstEvent(1) == 2 * timeouts.first_event);
  cr_assert(timeouts.forFirstEvent(20) == timeouts.max_first_event);
}

Test(run_timeouts, the_timeout_between_events_follows_the_event_time) {
  const run_timeouts timeouts;
  cr_assert(timeouts.forGap(0.04) == timeouts.min_gap);
  cr_assert(timeouts.forGap(0.2) == std::chrono::seconds(1));
  cr_assert(timeouts.forGap(3) == timeouts.max_gap);
  cr_assert(timeouts.forGap(0) == timeouts.max_gap, "unknown event time");
}
