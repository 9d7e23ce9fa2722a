#include "gateway/engines/engine_registry.h"

#include <criterion/criterion.h>

#include <algorithm>

#include "support/engine_lists.h"

using namespace linenpier;
using engines::engine_record;
using engines::engine_registry;
using engines::engine_request;
using engines::HealthOutcome;

namespace {

const ZoneName kZone("z");
const ModelName kModel("m");
const ServiceName kService("s");
constexpr Instant kStart{std::chrono::seconds(100)};

engine_record record(const std::string& id, WeightVersion version = 1) {
  engine_record made;
  made.id = EngineId(id);
  made.service = kService;
  made.address = {0x7f000001, static_cast<std::uint16_t>(9000 + id.back())};
  made.zone = kZone;
  made.slots = 4;
  made.models[kModel] = version;
  return made;
}

engine_registry registryOf(const std::vector<engine_record>& records) {
  engine_registry registry(kZone, {}, 1);
  test::listEngines(registry, kStart, records);
  return registry;
}

engine_request serviceRequest() {
  engine_request request;
  request.service = kService;
  return request;
}

}  // namespace

Test(engine_registry, draining_and_removed_engines_get_no_requests) {
  engine_record leaving = record("a");
  leaving.draining = true;
  engine_registry registry = registryOf({leaving, record("b")});
  for (int i = 0; i < 20; ++i)
    cr_assert_eq(registry.pick(kStart, serviceRequest())->record.id.str(), "b");
  cr_assert(registry.onRemoved(kStart, EngineId("b")).has_value());
  cr_assert_null(registry.pick(kStart, serviceRequest()));
}

Test(engine_registry, complete_listing_removes_missing_engines) {
  engine_registry registry = registryOf({record("a"), record("b")});
  const auto gone = test::listEngines(registry, kStart, {record("b")});
  cr_assert_eq(gone.size(), 1U);
  cr_assert_null(registry.find(EngineId("a")));
}

Test(engine_registry, prefers_the_less_loaded_engine_counting_own_requests) {
  engine_registry registry = registryOf({record("a"), record("b")});
  registry.onAttemptStarted(kStart, EngineId("a"));
  registry.onAttemptStarted(kStart, EngineId("a"));
  cr_assert_eq(registry.pick(kStart, serviceRequest())->record.id.str(), "b");
  registry.onLoadReport(kStart, EngineId("b"), {4, 3, 4});
  cr_assert_eq(registry.pick(kStart, serviceRequest())->record.id.str(), "a",
               "load of other daemons counts");
  const Instant later = kStart + std::chrono::seconds(5);
  cr_assert_eq(registry.pick(later, serviceRequest())->record.id.str(), "b", "old reports expire");
}

Test(engine_registry, avoids_a_slow_engine_until_its_measurement_expires) {
  engine_registry registry = registryOf({record("a"), record("b"), record("c")});
  for (int i = 0; i < 20; ++i) {
    registry.onEventTime(kStart, EngineId("a"), std::chrono::milliseconds(120));
    registry.onEventTime(kStart, EngineId("b"), std::chrono::milliseconds(30));
    registry.onEventTime(kStart, EngineId("c"), std::chrono::milliseconds(30));
  }
  cr_assert(registry.latencyRatio(kStart, EngineId("a")) > 3);
  for (int i = 0; i < 20; ++i)
    cr_assert_neq(registry.pick(kStart, serviceRequest())->record.id.str(), "a");
  cr_assert(registry.latencyRatio(kStart + std::chrono::seconds(10), EngineId("a")) <= 1);
}

Test(engine_registry, ejects_on_the_second_broken_response) {
  engine_registry registry = registryOf({record("a")});
  registry.onAttemptEnded(kStart, EngineId("a"), HealthOutcome::kBroken);
  cr_assert_not_null(registry.pick(kStart, serviceRequest()));
  const Instant later = kStart + std::chrono::seconds(1);
  registry.onAttemptEnded(later, EngineId("a"), HealthOutcome::kBroken);
  cr_assert_null(registry.pick(later, serviceRequest()));
  engine_request last_resort = serviceRequest();
  last_resort.last_resort = true;
  cr_assert_not_null(registry.pick(later, last_resort),
                     "an ejected engine is used as a last resort");
}

Test(engine_registry, burst_of_resets_counts_as_one_failure) {
  engine_registry registry = registryOf({record("a")});
  for (int i = 0; i < 12; ++i) {
    registry.onAttemptEnded(kStart, EngineId("a"), HealthOutcome::kBroken);
  }
  cr_assert_not_null(registry.pick(kStart, serviceRequest()),
                     "an engine that changes weights resets all requests");
}

Test(engine_registry, engine_at_the_address_of_another_is_ejected) {
  engine_registry registry = registryOf({record("a")});
  registry.onAttemptEnded(kStart, EngineId("a"), HealthOutcome::kWrongEngine);
  cr_assert_null(registry.pick(kStart + std::chrono::seconds(3), serviceRequest()));
}

Test(engine_registry, versions_in_responses_override_the_record) {
  engine_registry registry = registryOf({record("a", 3)});
  engine_request request = serviceRequest();
  request.model = kModel;
  request.minimum_version = 4;
  cr_assert_null(registry.pick(kStart, request));
  registry.onVersionSeen(EngineId("a"), kModel, 4);
  cr_assert_not_null(registry.pick(kStart, request));
  registry.onRecord(kStart, record("a", 3));
  cr_assert_not_null(registry.pick(kStart, request),
                     "an unchanged record does not override the response");
  registry.onRecord(kStart, record("a", 2));
  cr_assert_null(registry.pick(kStart, request), "a changed record overrides the response");
}

Test(engine_registry, response_without_a_version_is_ignored) {
  engine_registry registry = registryOf({record("a", 3)});
  registry.onVersionSeen(EngineId("a"), kModel, 4);
  registry.onVersionSeen(EngineId("a"), kModel, 0);
  engine_request request = serviceRequest();
  request.model = kModel;
  request.minimum_version = 4;
  cr_assert_not_null(registry.pick(kStart, request));
}

Test(engine_registry, engine_that_rejects_with_free_slots_is_loading) {
  engine_registry registry = registryOf({record("a")});
  engine_request request = serviceRequest();
  request.model = kModel;
  registry.onRequestRejected(kStart, EngineId("a"), kModel);
  cr_assert_null(registry.pick(kStart + std::chrono::milliseconds(300), request));
  cr_assert_not_null(registry.pick(kStart + std::chrono::milliseconds(300), serviceRequest()),
                     "other models are unaffected");
  cr_assert_not_null(registry.pick(kStart + std::chrono::milliseconds(400), request));
}

Test(engine_registry, respects_max_per_slot) {
  engine_registry registry = registryOf({record("a")});
  engine_request request = serviceRequest();
  request.max_per_slot = 1;
  for (int i = 0; i < 4; ++i) {
    cr_assert_not_null(registry.pick(kStart, request));
    registry.onAttemptStarted(kStart, EngineId("a"));
  }
  cr_assert_null(registry.pick(kStart, request));
}

Test(engine_registry, counts_memory_used_by_other_daemons) {
  engine_registry registry = registryOf({record("slow"), record("full")});
  registry.onEventTime(kStart, EngineId("slow"), std::chrono::milliseconds(120));
  registry.onEventTime(kStart, EngineId("full"), std::chrono::milliseconds(100));
  registry.onAttemptStarted(kStart, EngineId("slow"));
  registry.addExpectedTokens(EngineId("slow"), 100);
  engine_request request = serviceRequest();
  request.batching = true;
  request.tokens = 100;
  request.memory_tokens = 420;
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(registry.pick(kStart, request)->record.id.str(), "full",
                 "the engine 'full' has no requests yet");
  }
  registry.onLoadReport(kStart, EngineId("full"), {3, 0, 4});
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(registry.pick(kStart, request)->record.id.str(), "slow");
  }
}

Test(engine_registry, selects_engines_by_exact_and_newest_version) {
  engine_registry registry = registryOf({record("old", 3), record("new", 4)});
  engine_request request = serviceRequest();
  request.model = kModel;
  request.exact_version = 3;
  cr_assert_eq(registry.pick(kStart, request)->record.id.str(), "old");
  request.exact_version = 2;
  cr_assert_null(registry.pick(kStart, request));
  request.exact_version.reset();
  request.prefer_newest = true;
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(registry.pick(kStart, request)->record.id.str(), "new");
  }
}

Test(engine_registry, keeps_an_engine_whose_record_returns_after_a_store_outage) {
  engine_registry registry = registryOf({record("a"), record("b")});
  registry.onStoreReconnected(kStart, std::chrono::seconds(5));
  cr_assert_not(registry.onRemoved(kStart, EngineId("a")).has_value());
  const Instant soon = kStart + std::chrono::milliseconds(1500);
  cr_assert(registry.removeExpired(soon).empty());
  cr_assert_not_null(registry.find(EngineId("a")), "it is still in use");
  registry.onRecord(soon, record("a"));
  cr_assert(registry.removeExpired(kStart + std::chrono::seconds(2)).empty());
  cr_assert_not_null(registry.find(EngineId("a")), "its record has returned");
}

Test(engine_registry, removes_an_engine_whose_record_does_not_return_within_two_seconds) {
  engine_registry registry = registryOf({record("a"), record("b")});
  registry.onStoreReconnected(kStart, std::chrono::seconds(5));
  test::listEngines(registry, kStart, {record("b")});
  cr_assert_not_null(registry.find(EngineId("a")));
  const auto dropped = registry.removeExpired(kStart + std::chrono::milliseconds(1950));
  cr_assert_eq(dropped.size(), 1U);
  cr_assert_null(registry.find(EngineId("a")));
}

Test(engine_registry, removes_engines_at_once_if_draining_or_after_a_short_outage) {
  engine_record leaving = record("a");
  leaving.draining = true;
  engine_registry registry = registryOf({leaving, record("b"), record("c")});
  registry.onStoreReconnected(kStart, std::chrono::seconds(5));
  cr_assert(registry.onRemoved(kStart, EngineId("a")).has_value());
  registry = registryOf({record("b"), record("c")});
  registry.onStoreReconnected(kStart, std::chrono::seconds(1));
  cr_assert(registry.onRemoved(kStart, EngineId("b")).has_value(),
            "too short for a record to expire");
}

Test(engine_registry, avoids_slow_hardware_after_the_measurement_expired) {
  engine_registry registry = registryOf({record("a"), record("b"), record("c")});
  Instant now = kStart;
  for (int i = 0; i < 100; ++i) {
    now += std::chrono::milliseconds(50);
    registry.onEventTime(now, EngineId("a"), std::chrono::milliseconds(65));
    registry.onEventTime(now, EngineId("b"), std::chrono::milliseconds(50));
    registry.onEventTime(now, EngineId("c"), std::chrono::milliseconds(50));
  }
  const Instant later = now + std::chrono::seconds(10);
  cr_assert_float_eq(registry.latencyRatio(later, EngineId("a")), 1.3, 0.01);
  for (int i = 0; i < 20; ++i)
    cr_assert_neq(registry.pick(later, serviceRequest())->record.id.str(), "a");
}

// --- Large services ---

namespace {

engine_record numbered(std::size_t number, WeightVersion version = 1) {
  engine_record made = record("e" + std::to_string(number), version);
  made.address.port = static_cast<std::uint16_t>(10000 + number);
  return made;
}

engine_registry registryOfSize(std::size_t engines) {
  std::vector<engine_record> records;
  for (std::size_t i = 0; i < engines; ++i) records.push_back(numbered(i));
  return registryOf(records);
}

/// @return how many engines are checked for `requests` concurrent requests.
std::uint64_t checksFor(engine_registry& registry, const engine_request& request, int requests) {
  const std::uint64_t before = registry.examined();
  for (int i = 0; i < requests; ++i) {
    const auto* engine = registry.pick(kStart, request);
    cr_assert_not_null(engine);
    registry.onAttemptStarted(kStart, engine->record.id);
  }
  return registry.examined() - before;
}

}  // namespace

Test(engine_registry, number_of_checks_does_not_grow_with_the_service) {
  engine_request item = serviceRequest();
  item.max_per_slot = 1;
  engine_registry small = registryOfSize(1000);
  engine_registry large = registryOfSize(2000);
  const std::uint64_t checks = checksFor(small, item, 200);
  cr_assert_eq(checksFor(large, item, 200), checks);
  cr_assert_leq(checks, 200U * 2 * engines::selection_options{}.max_candidates);
}

Test(engine_registry, does_not_check_engines_with_other_versions) {
  engine_registry registry = registryOfSize(2000);
  for (std::size_t i = 0; i < 40; ++i) registry.onRecord(kStart, numbered(i, 5));
  engine_request item = serviceRequest();
  item.model = kModel;
  item.minimum_version = 5;
  cr_assert_leq(checksFor(registry, item, 10), 400U);
  registry.onVersionSeen(EngineId("e77"), kModel, 6);
  item.minimum_version = 6;
  cr_assert_eq(registry.pick(kStart, item)->record.id.str(), "e77");
  cr_assert(registry.onRemoved(kStart, EngineId("e77")).has_value());
  cr_assert_null(registry.pick(kStart, item));
  cr_assert_eq(registry.lastAdmissionFailures().of(engines::AdmissionFailure::kVersionMismatch),
               1999U);
}

Test(engine_registry, finds_the_only_admitted_engine) {
  engine_registry registry = registryOfSize(2000);
  for (std::size_t i = 0; i < 2000; ++i) {
    if (i == 1234) continue;
    engine_record leaving = numbered(i);
    leaving.draining = true;
    registry.onRecord(kStart, leaving);
  }
  cr_assert_eq(registry.pick(kStart, serviceRequest())->record.id.str(), "e1234");
  cr_assert_eq(registry.availableEngines(kService).size(), 1U);
}

Test(engine_registry, daemons_prefer_different_engines_of_a_large_service) {
  std::vector<engine_record> records;
  for (std::size_t i = 0; i < 2000; ++i) records.push_back(numbered(i));
  std::map<EngineId, int> chosen_by;
  constexpr int kDaemons = 50;
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    engine_registry registry(kZone, {}, static_cast<std::uint64_t>(daemon) + 1);
    test::listEngines(registry, kStart, records);
    std::set<EngineId> chosen;
    for (int i = 0; i < 200; ++i) chosen.insert(registry.pick(kStart, serviceRequest())->record.id);
    for (const EngineId& id : chosen) ++chosen_by[id];
  }
  int most = 0;
  for (const auto& [id, daemons] : chosen_by) most = std::max(most, daemons);
  // 50 daemons with 64 of 2,000 engines each: 1.6 daemons per engine on average.
  cr_assert_leq(most, 9, "%d daemons at one engine", most);
}

Test(engine_registry, infrequent_requests_reuse_a_connection) {
  engine_registry registry = registryOfSize(300);
  std::set<EngineId> used;
  Instant now = kStart;
  for (int i = 0; i < 10; ++i, now += std::chrono::seconds(2)) {
    const EngineId id = registry.pick(now, serviceRequest())->record.id;
    registry.onAttemptStarted(now, id);
    registry.onEventTime(now, id, std::chrono::milliseconds(25));
    registry.onAttemptEnded(now, id, HealthOutcome::kSuccess);
    used.insert(id);
  }
  cr_assert_eq(used.size(), 1U, "%zu connections for ten requests", used.size());
}

// --- Restarted engines and invalid records ---

Test(engine_registry, restart_discards_the_state_of_an_engine) {
  engine_record first = record("a", 7);
  first.start = 1000;
  engine_registry registry = registryOf({first});
  const EngineId id("a");
  registry.onAttemptStarted(kStart, id);
  registry.onVersionSeen(id, kModel, 9);
  registry.onAttemptEnded(kStart, id, HealthOutcome::kTimeout);
  cr_assert_eq(registry.find(id)->health.failures(), 1);
  engine_record again = record("a", 3);
  again.start = 2000;
  cr_assert(registry.onRecord(kStart, again) == engines::RecordEffect::kRestarted);
  const engines::engine_state* engine = registry.find(id);
  cr_assert_eq(engine->versionOf(kModel), 3U, "not the version from before the restart");
  cr_assert_eq(engine->health.failures(), 0);
  cr_assert(registry.admit(kStart, *engine, serviceRequest()) == engines::AdmissionFailure::kNone);
}

Test(engine_registry, ignores_a_record_from_before_the_restart) {
  engine_record newer = record("a", 3);
  newer.start = 2000;
  engine_registry registry = registryOf({newer});
  engine_record older = record("a", 9);
  older.start = 1000;
  older.draining = true;
  cr_assert(registry.onRecord(kStart, older) == engines::RecordEffect::kOutdated);
  cr_assert_eq(registry.find(EngineId("a"))->versionOf(kModel), 3U);
  cr_assert_not(registry.find(EngineId("a"))->record.draining);
}

Test(engine_registry, invalid_record_removes_the_engine) {
  engine_registry registry = registryOf({record("a"), record("b")});
  registry.onStoreReconnected(kStart, std::chrono::seconds(60));
  cr_assert(registry.onInvalidRecord(EngineId("a")).has_value());
  cr_assert_null(registry.find(EngineId("a")), "not treated as expired");
  for (int i = 0; i < 20; ++i)
    cr_assert_eq(registry.pick(kStart, serviceRequest())->record.id.str(), "b");
  cr_assert_not(registry.onInvalidRecord(EngineId("c")).has_value());
}

Test(engine_registry, expiry_depends_on_the_heartbeat_interval) {
  engine_registry registry = registryOf({record("a")});
  registry.setHeartbeat(std::chrono::seconds(5));
  registry.onStoreReconnected(kStart, std::chrono::seconds(12));
  cr_assert(registry.onRemoved(kStart, EngineId("a")).has_value(),
            "no record expires in that time");
  registry.onRecord(kStart, record("a"));
  registry.onStoreReconnected(kStart, std::chrono::seconds(13));
  cr_assert_not(registry.onRemoved(kStart, EngineId("a")).has_value());
}
