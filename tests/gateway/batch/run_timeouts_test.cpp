#include "gateway/batch/run_timeouts.h"

#include <criterion/criterion.h>

using namespace linenpier;
using batch::run_timeouts;

Test(run_timeouts, an_item_that_was_left_before_waits_longer_for_its_first_event) {
  const run_timeouts timeouts;
  cr_assert(timeouts.forFirstEvent(0) == timeouts.first_event);
  cr_assert(timeouts.forFirstEvent(1) == 2 * timeouts.first_event);
  cr_assert(timeouts.forFirstEvent(20) == timeouts.max_first_event);
}

Test(run_timeouts, a_slow_engine_is_given_more_time_between_events_than_a_fast_one) {
  const run_timeouts timeouts;
  cr_assert(timeouts.forGap(0.04) == timeouts.min_gap);
  cr_assert(timeouts.forGap(0.2) == std::chrono::seconds(1));
  cr_assert(timeouts.forGap(3) == timeouts.max_gap);
  cr_assert(timeouts.forGap(0) == timeouts.max_gap, "nothing is known of the engine");
}
