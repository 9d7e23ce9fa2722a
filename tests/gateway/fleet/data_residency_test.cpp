#include "gateway/fleet/data_residency.h"

#include <criterion/criterion.h>

using namespace linenpier;
using fleet::data_residency;

namespace {
const RegionName kNorth("north");
const RegionName kSouth("south");
}  // namespace

Test(data_residency, allows_everything_by_default) {
  cr_assert(data_residency().allows(kNorth));
  cr_assert(data_residency().allows(RegionName()));
  cr_assert_not(data_residency().isRestricted());
}

Test(data_residency, rejects_an_unknown_region) {
  cr_assert_not(data_residency({kNorth}).allows(RegionName()));
}

Test(data_residency, intersect_applies_both_restrictions) {
  const data_residency both = data_residency({kNorth, kSouth}).intersect(data_residency({kSouth}));
  cr_assert(both.allows(kSouth));
  cr_assert_not(both.allows(kNorth));
  cr_assert(data_residency().intersect(data_residency({kNorth})) == data_residency({kNorth}));
}

Test(data_residency, intersect_without_a_common_region_allows_nothing) {
  const data_residency none = data_residency({kNorth}).intersect(data_residency({kSouth}));
  cr_assert(none.isRestricted());
  cr_assert_not(none.allows(kNorth));
  cr_assert_not(none.allows(kSouth));
}
