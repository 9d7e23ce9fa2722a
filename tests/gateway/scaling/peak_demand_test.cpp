#include "gateway/scaling/peak_demand.h"

#include <criterion/criterion.h>

using namespace linenpier;
using scaling::scaling_options;

namespace {

Instant after(int seconds) {
  return Instant{std::chrono::seconds(100 + seconds)};
}

}  // namespace

Test(peak_demand, the_peak_within_the_window_counts) {
  scaling::peak_demand peak;
  const scaling_options all;
  cr_assert_not(peak.onOpenItems(after(0), all, 320, 8).has_value(),
                "a whole window was not observed");
  cr_assert_not(peak.onOpenItems(after(4), all, 320, 8).has_value());
  cr_assert_eq(*peak.onOpenItems(after(10), all, 0, 8), 10U);
  cr_assert_eq(*peak.onOpenItems(after(13), all, 64, 8), 10U);
  cr_assert_eq(*peak.onOpenItems(after(15), all, 0, 8), 2U);
}
