#include "gateway/batch/zone_drain_schedule.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <limits>

using namespace linenpier;
using batch::placed_run;
using batch::zone_drain_schedule;

namespace {

const ZoneName kNorth("north");
const ZoneName kSouth("south");
const fleet::closed_zones kNorthClosed({{kNorth, 5}});
constexpr Instant kStart{std::chrono::seconds(100)};
constexpr Duration kTick = std::chrono::milliseconds(50);

/// Simulates a zone in which every run moves as soon as it is due.
struct Zone {
  zone_drain_schedule schedule;
  std::vector<placed_run> runs;

  std::vector<double> tick(Instant now, const fleet::closed_zones& closed = kNorthClosed) {
    schedule.onZones(now, closed, runs);
    std::vector<double> left;
    const std::vector<std::size_t> due = schedule.due(now, runs);
    for (const std::size_t i : due) left.push_back(runs[i].seconds_left);
    std::vector<placed_run> stay;
    for (std::size_t i = 0; i < runs.size(); ++i) {
      const bool leaves = std::find(due.begin(), due.end(), i) != due.end();
      if (leaves) schedule.onRunMoved(runs[i].zone);
      if (!leaves) stay.push_back(runs[i]);
    }
    runs = stay;
    return left;
  }
};

}  // namespace

Test(zone_drain_schedule, the_longest_runs_move_first_and_short_ones_stay) {
  Zone zone;
  zone.runs = {{kNorth, 4}, {kNorth, 1}, {kNorth, 9}, {kNorth, 6}};
  std::vector<double> order;
  for (Instant now = kStart; now <= kStart + std::chrono::milliseconds(2400); now += kTick) {
    for (const double each : zone.tick(now)) order.push_back(each);
  }
  cr_assert_eq(order.size(), 3U);
  cr_assert(order[0] == 9 && order[1] == 6 && order[2] == 4);
  cr_assert_eq(zone.runs.size(), 1U, "the run of one second ends in the zone");
}

Test(zone_drain_schedule, moves_are_spread_over_the_drain_time_and_complete_by_its_end) {
  Zone zone;
  for (int i = 0; i < 100; ++i) zone.runs.push_back({kNorth, 20.0 + i});
  cr_assert(zone.tick(kStart).empty());
  for (Instant now = kStart + kTick; now <= kStart + std::chrono::milliseconds(1250); now += kTick)
    cr_assert_leq(zone.tick(now).size(), 3U);
  cr_assert_eq(zone.runs.size(), 50U, "half of the runs in half of the time");
  for (Instant now = kStart + std::chrono::milliseconds(1300);
       now <= kStart + std::chrono::milliseconds(2500); now += kTick)
    zone.tick(now);
  cr_assert(zone.runs.empty());
}

Test(zone_drain_schedule, runs_that_could_not_be_moved_stay_due) {
  zone_drain_schedule schedule;
  const std::vector<placed_run> runs(10, {kNorth, 30});
  schedule.onZones(kStart, kNorthClosed, runs);
  for (int seconds = 3; seconds < 6; ++seconds) {
    const Instant now = kStart + std::chrono::seconds(seconds);
    cr_assert_eq(schedule.due(now, runs).size(), schedule.options().max_moves_per_poll);
  }
}

Test(zone_drain_schedule, a_run_of_unknown_length_is_moved) {
  Zone zone;
  zone.runs = {{kNorth, std::numeric_limits<double>::infinity()}};
  zone.tick(kStart);
  cr_assert_eq(zone.tick(kStart + kTick).size(), 1U);
}

Test(zone_drain_schedule, each_drained_zone_is_reported_once_per_closing) {
  zone_drain_schedule schedule;
  const fleet::closed_zones both({{kNorth, 5}, {kSouth, 6}});
  const std::vector<placed_run> south = {{kSouth, 9}};
  schedule.onZones(kStart, both, south);
  const auto drained = schedule.takeDrained(kStart, south);
  cr_assert_eq(drained.size(), 1U);
  cr_assert_eq(drained[0].zone.str(), "north");
  cr_assert(schedule.takeDrained(kStart, south).empty());
  schedule.onZones(kStart + kTick, both, {});
  cr_assert_eq(schedule.takeDrained(kStart + kTick, {}).size(), 1U);
}

Test(zone_drain_schedule, reopening_and_closing_a_zone_restarts_draining) {
  zone_drain_schedule schedule;
  const std::vector<placed_run> runs(4, {kNorth, 30});
  schedule.onZones(kStart, kNorthClosed, runs);
  const Instant later = kStart + std::chrono::seconds(9);
  schedule.onZones(later, {}, {});
  cr_assert(schedule.idle());
  cr_assert(schedule.due(later, runs).empty());
  schedule.onZones(later, kNorthClosed, runs);
  cr_assert(schedule.due(later, runs).empty(), "moves are spread from the new closing on");
  cr_assert_eq(schedule.due(later + kTick, runs).size(), 1U);
}
