#include "gateway/fleet/zone_closings.h"

#include <criterion/criterion.h>

using namespace linenpier;
using fleet::zone_closings;

namespace {

const ZoneName kNorth("north");
const ZoneName kSouth("south");

}  // namespace

Test(zone_closings, a_row_closes_its_zone_until_it_is_gone) {
  zone_closings closings;
  const auto closed = closings.onClosed(kNorth, 5);
  cr_assert_eq(closed.closed.size(), 1U);
  cr_assert(closed.closed[0] == kNorth);
  cr_assert(closings.zones().contains(kNorth));
  const auto opened = closings.onOpened(kNorth, 6);
  cr_assert_eq(opened.opened.size(), 1U);
  cr_assert(closings.zones().empty());
}

Test(zone_closings, a_closing_that_is_sent_twice_is_acted_on_once) {
  zone_closings closings;
  cr_assert_eq(closings.onClosed(kNorth, 5).closed.size(), 1U);
  cr_assert(closings.onClosed(kNorth, 7).empty());
  cr_assert_eq(closings.zones().all().at(kNorth), 7U);
  cr_assert_eq(closings.onOpened(kNorth, 8).opened.size(), 1U);
  cr_assert(closings.onOpened(kNorth, 9).empty());
}

Test(zone_closings, two_zones_open_each_by_itself) {
  zone_closings closings;
  closings.onClosed(kNorth, 5);
  closings.onClosed(kSouth, 6);
  closings.onOpened(kNorth, 7);
  cr_assert_not(closings.zones().contains(kNorth));
  cr_assert(closings.zones().contains(kSouth));
}

Test(zone_closings, a_whole_table_shows_what_was_taken_back_unheard) {
  zone_closings closings;
  closings.onClosed(kNorth, 5);
  const auto changes = closings.onTable(9, {{kSouth, 8}});
  cr_assert_eq(changes.opened.size(), 1U);
  cr_assert_eq(changes.closed.size(), 1U);
  cr_assert_eq(changes.opened[0].str(), "north");
  cr_assert(changes.closed[0] == kSouth);
}

Test(zone_closings, an_older_table_changes_nothing) {
  zone_closings closings;
  closings.onTable(9, {{kNorth, 4}});
  cr_assert(closings.onTable(8, {}).empty());
  cr_assert(closings.zones().contains(kNorth));
}

Test(zone_closings, a_feed_that_goes_on_from_before_a_peers_word_does_not_turn_it_back) {
  zone_closings closings;
  // The zone was closed at 5 and opened at 7, as a peer's table of 8 shows.
  closings.onTable(8, {});
  cr_assert(closings.onClosed(kNorth, 5).empty());
  cr_assert(closings.onOpened(kNorth, 7).empty());
  cr_assert(closings.zones().empty());
  cr_assert_eq(closings.onClosed(kNorth, 9).closed.size(), 1U);
}
