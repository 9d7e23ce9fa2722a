#include "gateway/fleet/data_residency.h"

#include <criterion/criterion.h>

using namespace linenpier;
using fleet::data_residency;

namespace {
const RegionName kNorth("north");
const RegionName kSouth("south");
}  // namespace

Test(home_regions, without_homes_everything_is_allowed) {
  cr_assert(data_residency().allows(kNorth));
  cr_assert(data_residency().allows(RegionName()));
  cr_assert_not(data_residency().isRestricted());
}

Test(home_regions, an_unknown_region_is_no_home) {
  cr_assert_not(data_residency({kNorth}).allows(RegionName()));
}

Test(home_regions, both_bind_where_there_are_two) {
  const data_residency both = data_residency({kNorth, kSouth}).intersect(data_residency({kSouth}));
  cr_assert(both.allows(kSouth));
  cr_assert_not(both.allows(kNorth));
  cr_assert(data_residency().intersect(data_residency({kNorth})) == data_residency({kNorth}));
}

Test(home_regions, two_without_a_common_region_leave_none) {
  const data_residency none = data_residency({kNorth}).intersect(data_residency({kSouth}));
  cr_assert(none.isRestricted());
  cr_assert_not(none.allows(kNorth));
  cr_assert_not(none.allows(kSouth));
}
