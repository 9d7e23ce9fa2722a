#include "gateway/batch/run_patience.h"

#include <criterion/criterion.h>

using namespace linenpier;
using batch::run_patience;

Test(run_patience, an_item_that_was_left_before_waits_longer_for_its_first_event) {
  const run_patience patience;
  cr_assert(patience.forFirstEvent(0) == patience.first_event);
  cr_assert(patience.forFirstEvent(1) == 2 * patience.first_event);
  cr_assert(patience.forFirstEvent(20) == patience.longest_first_event);
}

Test(run_patience, a_slow_engine_is_given_more_time_between_events_than_a_fast_one) {
  const run_patience patience;
  cr_assert(patience.forGap(0.04) == patience.gap);
  cr_assert(patience.forGap(0.2) == std::chrono::seconds(1));
  cr_assert(patience.forGap(3) == patience.longest_gap);
  cr_assert(patience.forGap(0) == patience.longest_gap, "nothing is known of the engine");
}
