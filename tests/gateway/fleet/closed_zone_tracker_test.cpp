#include "gateway/fleet/closed_zone_tracker.h"

#include <criterion/criterion.h>

using namespace linenpier;
using fleet::closed_zone_tracker;

namespace {

const ZoneName kNorth("north");
const ZoneName kSouth("south");

}  // namespace

Test(closed_zone_tracker, a_row_closes_its_zone_until_it_is_gone) {
  closed_zone_tracker closings;
  const auto closed = closings.onClosed(kNorth, 5);
  cr_assert_eq(closed.closed.size(), 1U);
  cr_assert(closed.closed[0] == kNorth);
  cr_assert(closings.zones().contains(kNorth));
  const auto opened = closings.onOpened(kNorth, 6);
  cr_assert_eq(opened.opened.size(), 1U);
  cr_assert(closings.zones().empty());
}

Test(closed_zone_tracker, a_closing_that_is_sent_twice_is_acted_on_once) {
  closed_zone_tracker closings;
  cr_assert_eq(closings.onClosed(kNorth, 5).closed.size(), 1U);
  cr_assert(closings.onClosed(kNorth, 7).empty());
  cr_assert_eq(closings.zones().all().at(kNorth), 7U);
  cr_assert_eq(closings.onOpened(kNorth, 8).opened.size(), 1U);
  cr_assert(closings.onOpened(kNorth, 9).empty());
}

Test(closed_zone_tracker, two_zones_open_each_by_itself) {
  closed_zone_tracker closings;
  closings.onClosed(kNorth, 5);
  closings.onClosed(kSouth, 6);
  closings.onOpened(kNorth, 7);
  cr_assert_not(closings.zones().contains(kNorth));
  cr_assert(closings.zones().contains(kSouth));
}

Test(closed_zone_tracker, a_whole_table_shows_what_was_taken_back_unheard) {
  closed_zone_tracker closings;
  closings.onClosed(kNorth, 5);
  const auto changes = closings.onSnapshot(9, {{kSouth, 8}});
  cr_assert_eq(changes.opened.size(), 1U);
  cr_assert_eq(changes.closed.size(), 1U);
  cr_assert_eq(changes.opened[0].str(), "north");
  cr_assert(changes.closed[0] == kSouth);
}

Test(closed_zone_tracker, an_older_table_changes_nothing) {
  closed_zone_tracker closings;
  closings.onSnapshot(9, {{kNorth, 4}});
  cr_assert(closings.onSnapshot(8, {}).empty());
  cr_assert(closings.zones().contains(kNorth));
}

Test(closed_zone_tracker, a_feed_that_goes_on_from_before_a_peers_word_does_not_turn_it_back) {
  closed_zone_tracker closings;
  // The zone was closed at 5 and opened at 7, as a peer's table of 8 shows.
  closings.onSnapshot(8, {});
  cr_assert(closings.onClosed(kNorth, 5).empty());
  cr_assert(closings.onOpened(kNorth, 7).empty());
  cr_assert(closings.zones().empty());
  cr_assert_eq(closings.onClosed(kNorth, 9).closed.size(), 1U);
}
