#include "gateway/versions/load_demand.h"

#include <criterion/criterion.h>

using namespace linenpier;
using versions::load_demand;

namespace {
const ModelName kModel("m");
constexpr Instant kStart{std::chrono::seconds(100)};
constexpr std::uint32_t kSlots = 10;
}  // namespace

Test(load_demand, open_items_need_engines_with_headroom) {
  load_demand demand({});
  cr_assert_eq(demand.enginesFor(kModel, kSlots), 24U, "no work was reported");
  demand.onOpenWork(kStart, {{kModel, {400, false}}});
  cr_assert_eq(demand.enginesFor(kModel, kSlots), 50U);
  demand.onOpenWork(kStart, {{kModel, {10, false}}});
  cr_assert_eq(demand.enginesFor(kModel, kSlots), 50U, "the peak is kept");
}

Test(load_demand, a_peak_outside_the_window_is_dropped) {
  load_demand demand({});
  demand.onOpenWork(kStart, {{kModel, {400, false}}});
  demand.onOpenWork(kStart + std::chrono::seconds(11), {{kModel, {300, false}}});
  cr_assert_eq(demand.enginesFor(kModel, kSlots), 38U);
}
