#include "gateway/batch/length_estimator.h"

#include <criterion/criterion.h>

using linenpier::batch::length_estimator;

Test(length_estimator, events_are_learnt_from_hints_and_finished_items) {
  length_estimator estimate;
  cr_assert_eq(estimate.remainingEvents(1000, 0), 0.0, "nothing is known yet");
  estimate.onFinished(500, 10);
  estimate.onFinished(1500, 30);
  estimate.onFinished(0, 70);
  cr_assert_eq(estimate.remainingEvents(1000, 0), 20.0);
  cr_assert_eq(estimate.remainingEvents(1000, 5), 15.0);
}

Test(length_estimator, an_item_that_outlives_its_hint_is_expected_to_go_on) {
  length_estimator estimate;
  estimate.onFinished(100, 10);
  cr_assert_eq(estimate.remainingEvents(100, 40), 20.0);
  cr_assert_eq(estimate.remainingEvents(0, 40), 20.0, "no hint");
}
