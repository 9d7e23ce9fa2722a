#include "gateway/engines/engine_registry.h"

#include <criterion/criterion.h>

#include <algorithm>

#include "support/engine_lists.h"

using namespace linenpier;
using engines::AttemptOutcome;
using engines::engine_record;
using engines::engine_registry;
using engines::engine_request;

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

engine_request any() {
  engine_request request;
  request.service = kService;
  return request;
}

}  // namespace

Test(engine_registry, draining_and_gone_engines_get_nothing_new) {
  engine_record leaving = record("a");
  leaving.draining = true;
  engine_registry registry = registryOf({leaving, record("b")});
  for (int i = 0; i < 20; ++i) cr_assert_eq(registry.pick(kStart, any())->record.id.str(), "b");
  cr_assert(registry.onRemoved(kStart, EngineId("b")).has_value());
  cr_assert_null(registry.pick(kStart, any()));
}

Test(engine_registry, a_list_replaces_what_is_not_on_it) {
  engine_registry registry = registryOf({record("a"), record("b")});
  const auto gone = test::listEngines(registry, kStart, {record("b")});
  cr_assert_eq(gone.size(), 1U);
  cr_assert_null(registry.find(EngineId("a")));
}

Test(engine_registry, the_less_loaded_engine_is_taken_counting_our_own_requests) {
  engine_registry registry = registryOf({record("a"), record("b")});
  registry.onAttemptStarted(kStart, EngineId("a"));
  registry.onAttemptStarted(kStart, EngineId("a"));
  cr_assert_eq(registry.pick(kStart, any())->record.id.str(), "b");
  registry.onLoadReport(kStart, EngineId("b"), {4, 3, 4});
  cr_assert_eq(registry.pick(kStart, any())->record.id.str(), "a", "others' load counts");
  const Instant later = kStart + std::chrono::seconds(5);
  cr_assert_eq(registry.pick(later, any())->record.id.str(), "b", "old reports are forgotten");
}

Test(engine_registry, a_slow_engine_is_left_alone_until_its_measurement_is_old) {
  engine_registry registry = registryOf({record("a"), record("b"), record("c")});
  for (int i = 0; i < 20; ++i) {
    registry.onEventTime(kStart, EngineId("a"), std::chrono::milliseconds(120));
    registry.onEventTime(kStart, EngineId("b"), std::chrono::milliseconds(30));
    registry.onEventTime(kStart, EngineId("c"), std::chrono::milliseconds(30));
  }
  cr_assert(registry.latencyRatio(kStart, EngineId("a")) > 3);
  for (int i = 0; i < 20; ++i) cr_assert_neq(registry.pick(kStart, any())->record.id.str(), "a");
  cr_assert(registry.latencyRatio(kStart + std::chrono::seconds(10), EngineId("a")) <= 1);
}

Test(engine_registry, one_broken_answer_ejects_nobody_but_repeated_ones_do) {
  engine_registry registry = registryOf({record("a")});
  registry.onAttemptEnded(kStart, EngineId("a"), AttemptOutcome::kBroken);
  cr_assert_not_null(registry.pick(kStart, any()));
  const Instant later = kStart + std::chrono::seconds(1);
  registry.onAttemptEnded(later, EngineId("a"), AttemptOutcome::kBroken);
  cr_assert_null(registry.pick(later, any()));
  engine_request last_resort = any();
  last_resort.last_resort = true;
  cr_assert_not_null(registry.pick(later, last_resort), "rather an ejected engine than none");
}

Test(engine_registry, a_burst_of_resets_counts_as_one_failure) {
  engine_registry registry = registryOf({record("a")});
  for (int i = 0; i < 12; ++i) {
    registry.onAttemptEnded(kStart, EngineId("a"), AttemptOutcome::kBroken);
  }
  cr_assert_not_null(registry.pick(kStart, any()),
                     "an engine that changes weights resets everything");
}

Test(engine_registry, an_engine_at_anothers_address_is_ejected_for_long) {
  engine_registry registry = registryOf({record("a")});
  registry.onAttemptEnded(kStart, EngineId("a"), AttemptOutcome::kWrongEngine);
  cr_assert_null(registry.pick(kStart + std::chrono::seconds(3), any()));
}

Test(engine_registry, versions_seen_in_answers_are_newer_than_discovery) {
  engine_registry registry = registryOf({record("a", 3)});
  engine_request request = any();
  request.model = kModel;
  request.minimum_version = 4;
  cr_assert_null(registry.pick(kStart, request));
  registry.onVersionSeen(EngineId("a"), kModel, 4);
  cr_assert_not_null(registry.pick(kStart, request));
  registry.onRecord(kStart, record("a", 3));
  cr_assert_not_null(registry.pick(kStart, request), "the same old entry again is no news");
  registry.onRecord(kStart, record("a", 2));
  cr_assert_null(registry.pick(kStart, request), "a changed entry is");
}

Test(engine_registry, an_answer_that_names_no_version_changes_none) {
  engine_registry registry = registryOf({record("a", 3)});
  registry.onVersionSeen(EngineId("a"), kModel, 4);
  registry.onVersionSeen(EngineId("a"), kModel, 0);
  engine_request request = any();
  request.model = kModel;
  request.minimum_version = 4;
  cr_assert_not_null(registry.pick(kStart, request));
}

Test(engine_registry, an_engine_that_refuses_while_it_has_room_is_loading) {
  engine_registry registry = registryOf({record("a")});
  engine_request request = any();
  request.model = kModel;
  registry.onModelRejected(kStart, EngineId("a"), kModel);
  cr_assert_null(registry.pick(kStart + std::chrono::milliseconds(300), request));
  cr_assert_not_null(registry.pick(kStart + std::chrono::milliseconds(300), any()),
                     "other models go on");
  cr_assert_not_null(registry.pick(kStart + std::chrono::milliseconds(400), request));
}

Test(engine_registry, no_more_than_the_slots_where_that_is_asked_for) {
  engine_registry registry = registryOf({record("a")});
  engine_request request = any();
  request.max_per_slot = 1;
  for (int i = 0; i < 4; ++i) {
    cr_assert_not_null(registry.pick(kStart, request));
    registry.onAttemptStarted(kStart, EngineId("a"));
  }
  cr_assert_null(registry.pick(kStart, request));
}

Test(engine_registry, memory_that_others_fill_is_counted_too) {
  engine_registry registry = registryOf({record("slow"), record("full")});
  registry.onEventTime(kStart, EngineId("slow"), std::chrono::milliseconds(120));
  registry.onEventTime(kStart, EngineId("full"), std::chrono::milliseconds(100));
  registry.onAttemptStarted(kStart, EngineId("slow"));
  registry.addExpectedTokens(EngineId("slow"), 100);
  engine_request request = any();
  request.batching = true;
  request.tokens = 100;
  request.memory_tokens = 420;
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(registry.pick(kStart, request)->record.id.str(), "full", "it is empty yet");
  }
  registry.onLoadReport(kStart, EngineId("full"), {3, 0, 4});
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(registry.pick(kStart, request)->record.id.str(), "slow");
  }
}

Test(engine_registry, a_text_of_one_version_goes_on_where_that_version_is) {
  engine_registry registry = registryOf({record("old", 3), record("new", 4)});
  engine_request request = any();
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

Test(engine_registry, an_entry_that_lapsed_while_the_store_was_away_may_come_back) {
  engine_registry registry = registryOf({record("a"), record("b")});
  registry.onStoreReconnected(kStart, std::chrono::seconds(5));
  cr_assert_not(registry.onRemoved(kStart, EngineId("a")).has_value());
  const Instant soon = kStart + std::chrono::milliseconds(1500);
  cr_assert(registry.removeExpired(soon).empty());
  cr_assert_not_null(registry.find(EngineId("a")), "it serves on");
  registry.onRecord(soon, record("a"));
  cr_assert(registry.removeExpired(kStart + std::chrono::seconds(2)).empty());
  cr_assert_not_null(registry.find(EngineId("a")), "its entry is back");
}

Test(engine_registry, an_entry_that_lapsed_and_stays_away_is_gone_within_two_seconds) {
  engine_registry registry = registryOf({record("a"), record("b")});
  registry.onStoreReconnected(kStart, std::chrono::seconds(5));
  test::listEngines(registry, kStart, {record("b")});
  cr_assert_not_null(registry.find(EngineId("a")));
  const auto dropped = registry.removeExpired(kStart + std::chrono::milliseconds(1950));
  cr_assert_eq(dropped.size(), 1U);
  cr_assert_null(registry.find(EngineId("a")));
}

Test(engine_registry, an_engine_that_was_draining_or_goes_in_a_calm_time_is_gone_at_once) {
  engine_record leaving = record("a");
  leaving.draining = true;
  engine_registry registry = registryOf({leaving, record("b"), record("c")});
  registry.onStoreReconnected(kStart, std::chrono::seconds(5));
  cr_assert(registry.onRemoved(kStart, EngineId("a")).has_value());
  registry = registryOf({record("b"), record("c")});
  registry.onStoreReconnected(kStart, std::chrono::seconds(1));
  cr_assert(registry.onRemoved(kStart, EngineId("b")).has_value(),
            "too short for an entry to lapse");
}

Test(engine_registry, an_engine_that_is_slow_by_make_is_avoided_when_its_measurement_is_old) {
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
  for (int i = 0; i < 20; ++i) cr_assert_neq(registry.pick(later, any())->record.id.str(), "a");
}

// --- What grows with the service ----------------------------------------------------------------

namespace {

engine_record numbered(std::size_t number, WeightVersion version = 1) {
  engine_record made = record("e" + std::to_string(number), version);
  made.address.port = static_cast<std::uint16_t>(10000 + number);
  return made;
}

engine_registry serviceOf(std::size_t engines) {
  std::vector<engine_record> records;
  for (std::size_t i = 0; i < engines; ++i) records.push_back(numbered(i));
  return registryOf(records);
}

/// @return engines that were looked at for one request after the other, all of which run on.
std::uint64_t looksFor(engine_registry& registry, const engine_request& request, int requests) {
  const std::uint64_t before = registry.examined();
  for (int i = 0; i < requests; ++i) {
    const auto* engine = registry.pick(kStart, request);
    cr_assert_not_null(engine);
    registry.onAttemptStarted(kStart, engine->record.id);
  }
  return registry.examined() - before;
}

}  // namespace

Test(engine_registry, a_choice_looks_at_as_many_engines_in_a_service_twice_as_large) {
  engine_request item = any();
  item.max_per_slot = 1;
  engine_registry small = serviceOf(1000);
  engine_registry large = serviceOf(2000);
  const std::uint64_t looks = looksFor(small, item, 200);
  cr_assert_eq(looksFor(large, item, 200), looks);
  cr_assert_leq(looks, 200U * 2 * engines::selection_options{}.max_candidates);
}

Test(engine_registry, engines_with_other_weights_are_not_looked_at) {
  engine_registry registry = serviceOf(2000);
  for (std::size_t i = 0; i < 40; ++i) registry.onRecord(kStart, numbered(i, 5));
  engine_request item = any();
  item.model = kModel;
  item.minimum_version = 5;
  cr_assert_leq(looksFor(registry, item, 10), 400U);
  registry.onVersionSeen(EngineId("e77"), kModel, 6);
  item.minimum_version = 6;
  cr_assert_eq(registry.pick(kStart, item)->record.id.str(), "e77");
  cr_assert(registry.onRemoved(kStart, EngineId("e77")).has_value());
  cr_assert_null(registry.pick(kStart, item));
  cr_assert_eq(registry.lastAdmissionFailures().of(engines::AdmissionFailure::kVersionMismatch),
               1999U);
}

Test(engine_registry, one_that_takes_the_request_is_found_among_any_number_that_do_not) {
  engine_registry registry = serviceOf(2000);
  for (std::size_t i = 0; i < 2000; ++i) {
    if (i == 1234) continue;
    engine_record leaving = numbered(i);
    leaving.draining = true;
    registry.onRecord(kStart, leaving);
  }
  cr_assert_eq(registry.pick(kStart, any())->record.id.str(), "e1234");
  cr_assert_eq(registry.availableEngines(kService).size(), 1U);
}

Test(engine_registry, daemons_keep_to_different_engines_of_a_large_service) {
  std::vector<engine_record> records;
  for (std::size_t i = 0; i < 2000; ++i) records.push_back(numbered(i));
  std::map<EngineId, int> chosen_by;
  constexpr int kDaemons = 50;
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    engine_registry registry(kZone, {}, static_cast<std::uint64_t>(daemon) + 1);
    test::listEngines(registry, kStart, records);
    std::set<EngineId> chosen;
    for (int i = 0; i < 200; ++i) chosen.insert(registry.pick(kStart, any())->record.id);
    for (const EngineId& id : chosen) ++chosen_by[id];
  }
  int most = 0;
  for (const auto& [id, daemons] : chosen_by) most = std::max(most, daemons);
  // 50 daemons with 64 of 2,000 engines each: 1.6 an engine in the mean.
  cr_assert_leq(most, 9, "%d daemons at one engine", most);
}

Test(engine_registry, requests_now_and_then_go_where_a_connection_is) {
  engine_registry registry = serviceOf(300);
  std::set<EngineId> used;
  Instant now = kStart;
  for (int i = 0; i < 10; ++i, now += std::chrono::seconds(2)) {
    const EngineId id = registry.pick(now, any())->record.id;
    registry.onAttemptStarted(now, id);
    registry.onEventTime(now, id, std::chrono::milliseconds(25));
    registry.onAttemptEnded(now, id, AttemptOutcome::kSuccess);
    used.insert(id);
  }
  cr_assert_eq(used.size(), 1U, "%zu connections for ten requests", used.size());
}

// --- Engines that start again, and entries that name none ----------------------------------------

Test(engine_registry, an_engine_that_started_again_under_its_id_is_another_one) {
  engine_record first = record("a", 7);
  first.start = 1000;
  engine_registry registry = registryOf({first});
  const EngineId id("a");
  registry.onAttemptStarted(kStart, id);
  registry.onVersionSeen(id, kModel, 9);
  registry.onAttemptEnded(kStart, id, AttemptOutcome::kTimeout);
  cr_assert_eq(registry.find(id)->health.failures(), 1);
  engine_record again = record("a", 3);
  again.start = 2000;
  cr_assert(registry.onRecord(kStart, again) == engines::RecordEffect::kRestarted);
  const engines::engine_state* engine = registry.find(id);
  cr_assert_eq(engine->versionOf(kModel), 3U, "not what the earlier start answered");
  cr_assert_eq(engine->health.failures(), 0);
  cr_assert(registry.admit(kStart, *engine, any()) == engines::AdmissionFailure::kNone);
}

Test(engine_registry, what_an_earlier_start_says_later_is_not_believed) {
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

Test(engine_registry, an_entry_that_names_no_engine_takes_the_one_that_stood_there_out_of_use) {
  engine_registry registry = registryOf({record("a"), record("b")});
  registry.onStoreReconnected(kStart, std::chrono::seconds(60));
  cr_assert(registry.onInvalidRecord(EngineId("a")).has_value());
  cr_assert_null(registry.find(EngineId("a")), "that is no lapse");
  for (int i = 0; i < 20; ++i) cr_assert_eq(registry.pick(kStart, any())->record.id.str(), "b");
  cr_assert_not(registry.onInvalidRecord(EngineId("c")).has_value());
}

Test(engine_registry, how_long_the_store_was_away_is_judged_by_the_heartbeat) {
  engine_registry registry = registryOf({record("a")});
  registry.setHeartbeat(std::chrono::seconds(5));
  registry.onStoreReconnected(kStart, std::chrono::seconds(12));
  cr_assert(registry.onRemoved(kStart, EngineId("a")).has_value(), "no entry lapsed in that time");
  registry.onRecord(kStart, record("a"));
  registry.onStoreReconnected(kStart, std::chrono::seconds(13));
  cr_assert_not(registry.onRemoved(kStart, EngineId("a")).has_value());
}
