#include "daemon/upstream/engine_directory.h"

#include <criterion/criterion.h>

using namespace linenpier;
using upstream::EngineDirectory;

namespace {

const ZoneName kZone("z");
const ModelName kModel("m");
constexpr Instant kStart{std::chrono::seconds(100)};

wire::EngineReport report(const std::string& id, WeightVersion version, bool leaving = false) {
  return {EngineId(id), 0, 0, 8, version, 0, leaving};
}

EngineDirectory twoEngines() {
  EngineDirectory directory(kZone, {});
  directory.onMachineList({{EngineId("a"), kZone, kModel, "http://a", false},
                           {EngineId("b"), kZone, kModel, "http://b", false}});
  directory.onReport(kStart, report("a", 3));
  directory.onReport(kStart, report("b", 4));
  return directory;
}

}  // namespace

Test(engine_directory, only_engines_with_the_version_wanted_are_candidates) {
  const EngineDirectory directory = twoEngines();
  cr_assert_eq(directory.candidates(kStart, kModel, 3).size(), 2U);
  cr_assert_eq(directory.candidates(kStart, kModel, 4).size(), 1U);
  cr_assert_eq(directory.candidates(kStart, ModelName("other"), 0).size(), 0U);
}

Test(engine_directory, a_leaving_engine_gets_nothing_new_from_either_source) {
  EngineDirectory directory = twoEngines();
  directory.onReport(kStart, report("a", 3, true));
  directory.onMachineList({{EngineId("a"), kZone, kModel, "http://a", false},
                           {EngineId("b"), kZone, kModel, "http://b", true}});
  cr_assert_eq(directory.candidates(kStart, kModel, 0).size(), 0U);
}

Test(engine_directory, an_engine_that_vanished_from_the_list_is_not_used) {
  EngineDirectory directory = twoEngines();
  directory.onMachineList({{EngineId("b"), kZone, kModel, "http://b", false}});
  cr_assert_eq(directory.candidates(kStart, kModel, 0).size(), 1U);
}

Test(engine_directory, old_reports_make_an_engine_unusable) {
  const EngineDirectory directory = twoEngines();
  cr_assert_eq(directory.candidates(kStart + std::chrono::seconds(7), kModel, 0).size(), 0U);
}

Test(engine_directory, the_breaker_opens_after_failures_and_closes_with_time) {
  EngineDirectory directory = twoEngines();
  for (int i = 0; i < 2; ++i) {
    directory.onStreamStarted(EngineId("a"));
    directory.onStreamEnded(kStart, EngineId("a"), false);
  }
  cr_assert_eq(directory.candidates(kStart, kModel, 0).size(), 1U);
  cr_assert_eq(directory.candidates(kStart + std::chrono::seconds(3), kModel, 0).size(), 2U);
}

Test(engine_directory, a_digest_sums_the_zone_and_others_are_sorted_by_free_slots) {
  EngineDirectory directory = twoEngines();
  const auto own = directory.makeDigest(kStart);
  cr_assert_eq(own.pools.size(), 1U);
  cr_assert_eq(own.pools[0].slots, 16U);
  cr_assert_eq(own.pools[0].highest, 4U);
  directory.onZoneDigest(kStart, {ZoneName("busy"), false, {{kModel, 8, 8, 4}}});
  directory.onZoneDigest(kStart, {ZoneName("free"), false, {{kModel, 8, 0, 4}}});
  directory.onZoneDigest(kStart, {ZoneName("old"), false, {{kModel, 8, 0, 2}}});
  const auto zones = directory.zonesWith(kStart, kModel, 4);
  cr_assert_eq(zones.size(), 2U);
  cr_assert(zones[0].zone == ZoneName("free"));
}

Test(engine_directory, a_confirmed_flip_counts_before_lagging_reports_show_it) {
  EngineDirectory directory = twoEngines();
  directory.onVersionConfirmed(kStart, EngineId("a"), 5);
  cr_assert_eq(directory.candidates(kStart, kModel, 5).size(), 1U);
  directory.onReport(kStart + std::chrono::seconds(1), report("a", 3));
  cr_assert_eq(directory.candidates(kStart + std::chrono::seconds(1), kModel, 5).size(), 1U);
  directory.onReport(kStart + std::chrono::seconds(3), report("a", 3));
  cr_assert_eq(directory.candidates(kStart + std::chrono::seconds(3), kModel, 5).size(), 0U,
               "an engine that came back old is believed after the lag");
}

Test(engine_directory, a_compact_report_finds_its_engine_and_unknown_ones_are_dropped) {
  EngineDirectory directory = twoEngines();
  wire::EngineReport full = report("a", 9);
  full.running = 100000;
  directory.onCompactReport(kStart, upstream::compact(full));
  cr_assert_eq(directory.find(EngineId("a"))->report.version, 9U);
  cr_assert_eq(directory.find(EngineId("a"))->report.running, 65535U);
  directory.onCompactReport(kStart, upstream::compact(report("stranger", 9)));
  cr_assert_eq(directory.engines().size(), 2U);
}
