#include "gateway/fleet/home_regions.h"

#include <criterion/criterion.h>

using namespace linenpier;
using fleet::home_regions;

namespace {
const RegionName kNorth("north");
const RegionName kSouth("south");
}  // namespace

Test(home_regions, without_homes_everything_is_allowed) {
  cr_assert(home_regions().allows(kNorth));
  cr_assert(home_regions().allows(RegionName()));
  cr_assert_not(home_regions().bound());
}

Test(home_regions, an_unknown_region_is_no_home) {
  cr_assert_not(home_regions({kNorth}).allows(RegionName()));
}

Test(home_regions, both_bind_where_there_are_two) {
  const home_regions both = home_regions({kNorth, kSouth}).both(home_regions({kSouth}));
  cr_assert(both.allows(kSouth));
  cr_assert_not(both.allows(kNorth));
  cr_assert(home_regions().both(home_regions({kNorth})) == home_regions({kNorth}));
}

Test(home_regions, two_without_a_common_region_leave_none) {
  const home_regions none = home_regions({kNorth}).both(home_regions({kSouth}));
  cr_assert(none.bound());
  cr_assert_not(none.allows(kNorth));
  cr_assert_not(none.allows(kSouth));
}
