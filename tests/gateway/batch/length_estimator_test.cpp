#include "gateway/batch/length_estimator.h"

#include <criterion/criterion.h>

using linenpier::batch::length_estimator;

Test(length_estimator, estimates_are_derived_from_hints_and_finished_items) {
  length_estimator estimate;
  cr_assert_eq(estimate.remainingEvents(1000, 0), 0.0, "nothing is known yet");
  estimate.onFinished(500, 10);
  estimate.onFinished(1500, 30);
  estimate.onFinished(0, 70);
  cr_assert_eq(estimate.remainingEvents(1000, 0), 20.0);
  cr_assert_eq(estimate.remainingEvents(1000, 5), 15.0);
}

Test(length_estimator, an_item_beyond_its_hint_is_expected_to_continue) {
  length_estimator estimate;
  estimate.onFinished(100, 10);
  cr_assert_eq(estimate.remainingEvents(100, 40), 20.0);
  cr_assert_eq(estimate.remainingEvents(0, 40), 20.0, "no hint");
}
