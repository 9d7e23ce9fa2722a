#include "common/retry_backoff.h"

#include <criterion/criterion.h>

using namespace linenpier;

namespace {
constexpr Duration kMinDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxDelay = std::chrono::milliseconds(800);
}  // namespace

Test(retry_backoff, delays_double_up_to_a_maximum_and_reset_after_a_success) {
  retry_backoff backoff(kMinDelay, kMaxDelay, 7);
  for (const int factor : {1, 2, 4, 8, 8, 8}) {
    const Duration delay = backoff.onFailure();
    cr_assert(delay >= kMinDelay * factor / 2 && delay <= kMinDelay * factor * 3 / 2);
  }
  backoff.onSuccess();
  cr_assert(backoff.onFailure() <= kMinDelay * 3 / 2);
}

Test(retry_backoff, callers_that_fail_together_retry_at_different_times) {
  retry_backoff first(kMinDelay, kMaxDelay, 1);
  retry_backoff second(kMinDelay, kMaxDelay, 2);
  cr_assert(first.onFailure() != second.onFailure());
}
