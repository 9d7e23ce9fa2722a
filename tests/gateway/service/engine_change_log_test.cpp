#include "gateway/service/engine_change_log.h"

#include <criterion/criterion.h>

#include "gateway/service/peer_snapshot.h"

using namespace linenpier;
using gateway::engine_change_log;

namespace {

const EngineId kOne("e1");
const EngineId kOther("e2");

}  // namespace

Test(engine_change_log, only_what_changed_since_is_told) {
  engine_change_log changes;
  changes.reset(100);
  changes.record(kOne, 110);
  changes.record(kOther, 120);
  cr_assert(*changes.changedSince(100) == std::set<EngineId>({kOne, kOther}));
  cr_assert(*changes.changedSince(110) == std::set<EngineId>({kOther}));
  cr_assert(changes.changedSince(120)->empty());
}

Test(engine_change_log, whoever_knows_nothing_or_too_little_is_told_all) {
  engine_change_log changes;
  changes.reset(100);
  cr_assert_not(changes.changedSince(0).has_value());
  cr_assert_not(changes.changedSince(99).has_value());
}

Test(engine_change_log, a_change_without_a_revision_is_told_to_everybody) {
  engine_change_log changes;
  changes.reset(100);
  changes.record(kOne, 0);
  changes.record(kOther, 120);
  cr_assert(*changes.changedSince(120) == std::set<EngineId>({kOne}));
}

Test(engine_change_log, old_changes_are_forgotten_and_not_passed_over) {
  engine_change_log changes(2);
  changes.reset(100);
  changes.record(EngineId("a"), 101);
  changes.record(EngineId("b"), 102);
  changes.record(EngineId("c"), 103);
  cr_assert_not(changes.changedSince(100).has_value(), "the change of 101 is gone");
  cr_assert_eq(changes.changedSince(101)->size(), 2U);
}

Test(peer_snapshot, what_the_asker_knows_is_told_with_its_call) {
  const auto known = gateway::parseSnapshotTarget(gateway::snapshotTarget({7, 1234}));
  cr_assert_eq(known.config_version, 7U);
  cr_assert_eq(known.engines_revision, 1234U);
  const auto older = gateway::parseSnapshotTarget("/snapshot");
  cr_assert_eq(older.config_version, 0U);
  cr_assert_eq(older.engines_revision, 0U);
}

Test(peer_snapshot, changes_since_a_revision_are_read_as_such) {
  gateway::PeerSnapshot told;
  told.engines_since = 5;
  told.removed_engines = {"e1"};
  const auto read = gateway::decodeSnapshot(gateway::encodeSnapshot(told));
  cr_assert_eq(*read->engines_since, 5U);
  cr_assert_eq(read->removed_engines.at(0), "e1");
  const auto whole = gateway::decodeSnapshot(gateway::encodeSnapshot(gateway::PeerSnapshot{}));
  cr_assert_not(whole->engines_since.has_value());
}
