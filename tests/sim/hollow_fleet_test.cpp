#include "sim/hollow_fleet.h"

#include <criterion/criterion.h>

using namespace linenpier;
using sim::HollowFleet;

namespace {

sim::FleetOptions smallFleet() {
  sim::FleetOptions options;
  options.daemons = 12;
  options.engines = 48;
  options.zones = 3;
  options.tenants = 5;
  return options;
}

/// Runs in steps until `done`. @return whether it came true within the virtual seconds given.
template <typename Done>
bool within(HollowFleet& fleet, int seconds, Done done) {
  for (int i = 0; i < seconds * 10 && !done(); ++i) fleet.run(std::chrono::milliseconds(100));
  return done();
}

bool settled(const HollowFleet& fleet) {
  return fleet.daemonsWithWrongView() == 0 && fleet.enginesWithoutOwner() == 0 &&
         fleet.daemonsBehind(smallFleet().tenants + 1) == 0;
}

}  // namespace

Test(hollow_fleet, a_change_accepted_right_before_an_outage_is_in_force_on_every_daemon) {
  HollowFleet fleet(smallFleet());
  cr_assert(within(fleet, 60, [&] { return settled(fleet); }));
  const Revision changed = fleet.changeConfig(3);
  fleet.setTableUp(false);
  cr_assert_gt(changed, 0U);
  cr_assert(within(fleet, 17, [&] { return fleet.daemonsBehind(changed) == 0; }));
  cr_assert_eq(fleet.changeConfig(4), 0U, "nothing is accepted while the table is down");
}

Test(hollow_fleet, a_cut_zone_misses_a_change_and_has_it_soon_after_healing) {
  HollowFleet fleet(smallFleet());
  cr_assert(within(fleet, 60, [&] { return settled(fleet); }));
  fleet.cutZone(1, true);
  fleet.run(std::chrono::seconds(10));
  fleet.setTableUp(false);
  fleet.run(std::chrono::seconds(1));
  fleet.setTableUp(true);
  const Revision changed = fleet.changeConfig(0);
  fleet.cutZone(1, false);
  cr_assert(within(fleet, 17, [&] { return fleet.daemonsBehind(changed) == 0; }));
}

Test(hollow_fleet, the_engines_of_a_killed_daemon_are_taken_over_and_get_new_weights) {
  HollowFleet fleet(smallFleet());
  cr_assert(within(fleet, 60, [&] { return settled(fleet); }));
  fleet.kill(0);
  fleet.kill(5);
  cr_assert(within(fleet, 30, [&] { return fleet.enginesWithoutOwner() == 0; }));
  fleet.publish(0, 2);
  cr_assert(within(fleet, 29, [&] { return fleet.enginesBehind(0, 2) == 0; }));
}

Test(hollow_fleet, a_settled_fleet_writes_nothing_to_the_table) {
  HollowFleet fleet(smallFleet());
  cr_assert(within(fleet, 60, [&] { return settled(fleet); }));
  fleet.run(std::chrono::seconds(10));
  fleet.resetCost();
  fleet.run(std::chrono::seconds(60));
  cr_assert_eq(fleet.cost().table_writes, 0U);
}

Test(hollow_fleet, equal_seeds_make_equal_runs) {
  std::uint64_t bytes[2] = {0, 0};
  for (std::uint64_t& sum : bytes) {
    HollowFleet fleet(smallFleet());
    fleet.run(std::chrono::seconds(20));
    sum = fleet.cost().bytes;
  }
  cr_assert_eq(bytes[0], bytes[1]);
  cr_assert_gt(bytes[0], 0U);
}
