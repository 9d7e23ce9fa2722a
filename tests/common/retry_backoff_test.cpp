#include "common/retry_backoff.h"

#include <criterion/criterion.h>

using namespace linenpier;

namespace {
constexpr Duration kShortest = std::chrono::milliseconds(100);
constexpr Duration kLongest = std::chrono::milliseconds(800);
}  // namespace

Test(retry_backoff, pauses_double_up_to_a_bound_and_begin_anew_after_a_success) {
  retry_backoff backoff(kShortest, kLongest, 7);
  for (const int factor : {1, 2, 4, 8, 8, 8}) {
    const Duration pause = backoff.onFailure();
    cr_assert(pause >= kShortest * factor / 2 && pause <= kShortest * factor * 3 / 2);
  }
  backoff.onSuccess();
  cr_assert(backoff.onFailure() <= kShortest * 3 / 2);
}

Test(retry_backoff, callers_that_fail_together_come_back_apart) {
  retry_backoff one(kShortest, kLongest, 1);
  retry_backoff other(kShortest, kLongest, 2);
  cr_assert(one.onFailure() != other.onFailure());
}
