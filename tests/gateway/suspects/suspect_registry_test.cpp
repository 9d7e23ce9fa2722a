/// @file
/// Admission of suspects by one daemon, and merging of stored records.

#include "gateway/suspects/suspect_registry.h"

// Criterion's macros conflict with Boost headers that are included after it.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

using namespace linenpier;
using suspects::AdmissionState;
using suspects::request_key;
using suspects::suspect_record;
using suspects::suspect_registry;

namespace {

const request_key kKey("k");
const request_key kRewardKey("reward-k");
constexpr Duration kMinute = std::chrono::minutes(1);

Instant at(double seconds) {
  return Instant{} + std::chrono::hours(100) + fromSeconds(seconds);
}

EngineId engine(int number) {
  return EngineId("e" + std::to_string(number));
}

/// Records consecutive crashes of the request, one per second from 0 s on.
suspect_registry registryAfter(int crashes, const request_key& key = kKey) {
  suspect_registry registry;
  for (int i = 0; i < crashes; ++i) registry.onEngineCrashed(at(i), key, engine(i), i);
  return registry;
}

AdmissionState stateAt(const suspect_registry& registry, double seconds,
                       const request_key& key = kKey) {
  return registry.admissionOf(at(seconds), key).state;
}

}  // namespace

Test(suspect_registry, request_without_crashes_is_not_a_suspect) {
  const suspect_registry registry;
  cr_assert(registry.empty());
  cr_assert(stateAt(registry, 0) == AdmissionState::kNotSuspect);
}

Test(suspect_registry, first_crash_restricts_it_to_isolated_runs) {
  suspect_registry registry = registryAfter(1);
  cr_assert(stateAt(registry, 0.01) == AdmissionState::kMayRunAlone);
  registry.onIsolatedRun(at(0.01), kKey, "a");
  cr_assert(stateAt(registry, 0.02) == AdmissionState::kRunning);
  cr_assert(stateAt(registry, 3.02) == AdmissionState::kMayRunAlone,
            "an isolated run blocks others only until its timeout");
  registry.onIsolatedRunEnded(kKey, "b");
  cr_assert(stateAt(registry, 0.02) == AdmissionState::kRunning,
            "the isolated run of another daemon");
  registry.onIsolatedRunEnded(kKey, "a");
  cr_assert(stateAt(registry, 0.02) == AdmissionState::kMayRunAlone);
}

Test(suspect_registry, second_crash_delays_the_next_run) {
  const suspect_registry registry = registryAfter(2);
  cr_assert(stateAt(registry, 1.1) == AdmissionState::kBackingOff);
  cr_assert(stateAt(registry, 5.9) == AdmissionState::kBackingOff);
  cr_assert(stateAt(registry, 6.0) == AdmissionState::kMayRunAlone);
}

Test(suspect_registry, third_crash_bars_it_and_each_further_crash_doubles_the_bar) {
  suspect_registry registry = registryAfter(3);
  const auto admission = registry.admissionOf(at(2.5), kKey);
  cr_assert(admission.state == AdmissionState::kBarred);
  cr_assert_eq(admission.crashes, 3);
  cr_assert(admission.since_last_crash == fromSeconds(0.5));
  cr_assert(admission.retry_after == 10 * kMinute - fromSeconds(0.5));
  cr_assert(stateAt(registry, 2 + 599) == AdmissionState::kBarred);
  cr_assert(stateAt(registry, 2 + 600) == AdmissionState::kMayRunAlone);
  registry.onEngineCrashed(at(602), kKey, engine(9), 3);
  cr_assert(stateAt(registry, 602 + 1199) == AdmissionState::kBarred);
  cr_assert(stateAt(registry, 602 + 1200) == AdmissionState::kMayRunAlone);
}

Test(suspect_registry, suspect_expires_after_the_retention) {
  cr_assert(stateAt(registryAfter(1), 599) == AdmissionState::kMayRunAlone);
  cr_assert(stateAt(registryAfter(1), 600) == AdmissionState::kNotSuspect);
  cr_assert(stateAt(registryAfter(3), 2 + 1199) == AdmissionState::kMayRunAlone);
  cr_assert(stateAt(registryAfter(3), 2 + 1200) == AdmissionState::kNotSuspect);
}

Test(suspect_registry, crashes_of_concurrent_attempts_count_once) {
  suspect_registry registry;
  for (int i = 0; i < 8; ++i) registry.onEngineCrashed(at(0), kKey, engine(i), 0);
  cr_assert_eq(registry.crashesOf(kKey), 1,
               "a zone that loses power stops all its engines at once");
  cr_assert(stateAt(registry, 0.1) == AdmissionState::kMayRunAlone);
}

Test(suspect_registry, crash_of_attempt_sent_before_clearing_counts_as_first) {
  suspect_registry registry = registryAfter(2);
  cr_assert_eq(registry.onCleared(kKey), Revision{0}, "no row yet");
  cr_assert(registry.empty());
  registry.onEngineCrashed(at(3), kKey, engine(5), 2);
  cr_assert_eq(registry.crashesOf(kKey), 1);
}

// Guards against a reward request that is never sent again after a burst of crashes: its item is
// owed.
Test(suspect_registry, reward_request_is_delayed_after_each_crash_but_never_barred) {
  suspect_registry registry = registryAfter(3, kRewardKey);
  cr_assert_eq(registry.barredCount(at(3)), 0U);
  for (int crashes = 3; crashes < 12; ++crashes) {
    const double last_crash = 2 + 5.0 * (crashes - 3);
    cr_assert(stateAt(registry, last_crash + 4.9, kRewardKey) == AdmissionState::kBackingOff);
    cr_assert(stateAt(registry, last_crash + 5, kRewardKey) == AdmissionState::kMayRunAlone);
    registry.onEngineCrashed(at(last_crash + 5), kRewardKey, engine(crashes), crashes);
  }
  cr_assert(stateAt(registry, 1000, kRewardKey) == AdmissionState::kNotSuspect);
}

Test(suspect_registry, stored_row_is_merged_with_local_state) {
  suspect_registry registry = registryAfter(1);
  suspect_record row;
  row.crashes = 2;
  row.engines = {engine(7)};
  row.last_crash_ms = 9000;
  registry.onRow(at(1), 10000, kKey, 5, row);
  cr_assert_eq(registry.crashesOf(kKey), 2);
  cr_assert_eq(registry.revisionOf(kKey), Revision{5});
  cr_assert(registry.admissionOf(at(1), kKey).since_last_crash == fromSeconds(1));
  const suspect_record merged = registry.record(at(1), 10000, kKey);
  cr_assert_eq(merged.engines.size(), 2U);
  cr_assert_eq(merged.last_crash_ms, 9000);
  row.crashes = 1;
  registry.onRow(at(2), 11000, kKey, 4, row);
  cr_assert_eq(registry.crashesOf(kKey), 2, "older revision");
}

Test(suspect_registry, row_with_fewer_crashes_than_known_is_rewritten) {
  suspect_registry registry = registryAfter(2);
  registry.setShared(kKey);
  cr_assert_eq(registry.unwritten(9).size(), 1U);
  suspect_record row;
  row.crashes = 1;
  registry.onRow(at(2), 10000, kKey, 5, row);
  cr_assert_eq(registry.unwritten(9).size(), 1U);
  registry.onWritten(kKey, 6, registry.record(at(2), 10000, kKey));
  cr_assert(registry.unwritten(9).empty());
}

Test(suspect_registry, request_that_is_not_shared_is_not_written) {
  cr_assert(registryAfter(1).unwritten(9).empty());
}

Test(suspect_registry, removed_row_clears_the_suspect) {
  suspect_registry registry;
  suspect_record row;
  row.crashes = 2;
  registry.onRow(at(0), 10000, kKey, 5, row);
  registry.onRowGone(kKey, 4);
  cr_assert_eq(registry.crashesOf(kKey), 2, "removal of an older revision");
  registry.onRowGone(kKey, 6);
  cr_assert(registry.empty());
}

Test(suspect_registry, full_table_read_clears_absent_rows) {
  suspect_registry registry;
  suspect_record row;
  row.crashes = 2;
  registry.onRow(at(0), 10000, kKey, 5, row);
  registry.onRow(at(0), 10000, request_key("newer"), 9, row);
  registry.onEngineCrashed(at(0), request_key("own"), engine(1), 0);
  registry.onTableRead({}, 8);
  cr_assert_eq(registry.crashesOf(kKey), 0);
  cr_assert_eq(registry.crashesOf(request_key("newer")), 2, "written after the read");
  cr_assert_eq(registry.crashesOf(request_key("own")), 1, "never written");
}

Test(suspect_registry, record_of_a_peer_is_merged_at_the_same_revision) {
  suspect_registry registry;
  suspect_record row;
  row.crashes = 1;
  registry.onRow(at(0), 10000, kKey, 5, row);
  row.crashes = 3;
  registry.onPeerRow(at(0), 10000, kKey, 5, row);
  cr_assert(stateAt(registry, 1) == AdmissionState::kBarred);
}

Test(suspect_registry, eviction_keeps_suspects_with_most_crashes) {
  suspects::suspect_rules rules;
  rules.max_entries = 10;
  suspect_registry registry(rules);
  for (int i = 0; i < 3; ++i) registry.onEngineCrashed(at(i), kKey, engine(i), i);
  for (int i = 0; i < 50; ++i) {
    registry.onEngineCrashed(at(3 + i), request_key("new" + std::to_string(i)), engine(i), 0);
  }
  cr_assert_eq(registry.size(), 10U);
  cr_assert_eq(registry.crashesOf(kKey), 3);
}

Test(suspect_registry, expired_rows_are_removed_after_the_removal_delay) {
  suspect_registry registry;
  suspect_record row;
  row.crashes = 1;
  row.last_crash_ms = 10000;
  registry.onRow(at(0), 10000, kKey, 5, row);
  cr_assert(registry.sweep(at(599), fromSeconds(30), 9).empty());
  cr_assert(registry.sweep(at(629), fromSeconds(30), 9).empty());
  const auto removable = registry.sweep(at(630), fromSeconds(30), 9);
  cr_assert_eq(removable.size(), 1U);
  cr_assert_eq(removable.front().second, Revision{5});
}

Test(suspect_registry, record_round_trips_through_its_encoding) {
  suspect_record record;
  record.crashes = 3;
  record.engines = {engine(1), engine(2)};
  record.last_crash_ms = 12345;
  record.isolated_by = "d#1";
  record.isolated_until_ms = 15345;
  const auto read = suspects::decodeSuspect(suspects::encodeSuspect(record));
  cr_assert(read && *read == record);
  cr_assert(!suspects::decodeSuspect("no record"));
}
