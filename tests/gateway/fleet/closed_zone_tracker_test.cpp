#include "gateway/fleet/closed_zone_tracker.h"

#include <criterion/criterion.h>

using namespace linenpier;
using fleet::closed_zone_tracker;

namespace {

const ZoneName kNorth("north");
const ZoneName kSouth("south");

}  // namespace

Test(closed_zone_tracker, zone_is_closed_until_its_row_is_deleted) {
  closed_zone_tracker tracker;
  const auto closed = tracker.onClosed(kNorth, 5);
  cr_assert_eq(closed.closed.size(), 1U);
  cr_assert(closed.closed[0] == kNorth);
  cr_assert(tracker.zones().contains(kNorth));
  const auto opened = tracker.onOpened(kNorth, 6);
  cr_assert_eq(opened.opened.size(), 1U);
  cr_assert(tracker.zones().empty());
}

Test(closed_zone_tracker, repeated_closing_changes_only_the_revision) {
  closed_zone_tracker tracker;
  cr_assert_eq(tracker.onClosed(kNorth, 5).closed.size(), 1U);
  cr_assert(tracker.onClosed(kNorth, 7).empty());
  cr_assert_eq(tracker.zones().all().at(kNorth), 7U);
  cr_assert_eq(tracker.onOpened(kNorth, 8).opened.size(), 1U);
  cr_assert(tracker.onOpened(kNorth, 9).empty());
}

Test(closed_zone_tracker, opens_zones_independently) {
  closed_zone_tracker tracker;
  tracker.onClosed(kNorth, 5);
  tracker.onClosed(kSouth, 6);
  tracker.onOpened(kNorth, 7);
  cr_assert_not(tracker.zones().contains(kNorth));
  cr_assert(tracker.zones().contains(kSouth));
}

Test(closed_zone_tracker, snapshot_opens_zones_whose_deletion_was_missed) {
  closed_zone_tracker tracker;
  tracker.onClosed(kNorth, 5);
  const auto changes = tracker.onSnapshot(9, {{kSouth, 8}});
  cr_assert_eq(changes.opened.size(), 1U);
  cr_assert_eq(changes.closed.size(), 1U);
  cr_assert_eq(changes.opened[0].str(), "north");
  cr_assert(changes.closed[0] == kSouth);
}

Test(closed_zone_tracker, ignores_an_older_snapshot) {
  closed_zone_tracker tracker;
  tracker.onSnapshot(9, {{kNorth, 4}});
  cr_assert(tracker.onSnapshot(8, {}).empty());
  cr_assert(tracker.zones().contains(kNorth));
}

Test(closed_zone_tracker, watch_does_not_revert_a_newer_snapshot_of_a_peer) {
  closed_zone_tracker tracker;
  // Closed at revision 5 and opened at 7; the snapshot of the peer is at 8.
  tracker.onSnapshot(8, {});
  cr_assert(tracker.onClosed(kNorth, 5).empty());
  cr_assert(tracker.onOpened(kNorth, 7).empty());
  cr_assert(tracker.zones().empty());
  cr_assert_eq(tracker.onClosed(kNorth, 9).closed.size(), 1U);
}
