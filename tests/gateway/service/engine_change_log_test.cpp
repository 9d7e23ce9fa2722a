#include "gateway/service/engine_change_log.h"

#include <criterion/criterion.h>

#include "gateway/service/peer_snapshot.h"

using namespace linenpier;
using gateway::engine_change_log;

namespace {

const EngineId kOne("e1");
const EngineId kOther("e2");

}  // namespace

Test(engine_change_log, only_later_changes_are_returned) {
  engine_change_log changes;
  changes.reset(100);
  changes.record(kOne, 110);
  changes.record(kOther, 120);
  cr_assert(*changes.changedSince(100) == std::set<EngineId>({kOne, kOther}));
  cr_assert(*changes.changedSince(110) == std::set<EngineId>({kOther}));
  cr_assert(changes.changedSince(120)->empty());
}

Test(engine_change_log, an_unknown_or_too_old_revision_requires_a_full_snapshot) {
  engine_change_log changes;
  changes.reset(100);
  cr_assert_not(changes.changedSince(0).has_value());
  cr_assert_not(changes.changedSince(99).has_value());
}

Test(engine_change_log, a_change_without_a_revision_is_always_returned) {
  engine_change_log changes;
  changes.reset(100);
  changes.record(kOne, 0);
  changes.record(kOther, 120);
  cr_assert(*changes.changedSince(120) == std::set<EngineId>({kOne}));
}

Test(engine_change_log, evicted_changes_require_a_full_snapshot) {
  engine_change_log changes(2);
  changes.reset(100);
  changes.record(EngineId("a"), 101);
  changes.record(EngineId("b"), 102);
  changes.record(EngineId("c"), 103);
  cr_assert_not(changes.changedSince(100).has_value(), "the change at revision 101 was evicted");
  cr_assert_eq(changes.changedSince(101)->size(), 2U);
}

Test(peer_snapshot, the_known_revision_is_sent_with_the_request) {
  const auto known = gateway::parseSnapshotTarget(gateway::snapshotTarget({7, 1234}));
  cr_assert_eq(known.config_version, 7U);
  cr_assert_eq(known.engines_revision, 1234U);
  const auto older = gateway::parseSnapshotTarget("/snapshot");
  cr_assert_eq(older.config_version, 0U);
  cr_assert_eq(older.engines_revision, 0U);
}

Test(peer_snapshot, an_incremental_snapshot_is_decoded) {
  gateway::PeerSnapshot sent;
  sent.engines_since = 5;
  sent.removed_engines = {"e1"};
  const auto read = gateway::decodeSnapshot(gateway::encodeSnapshot(sent));
  cr_assert_eq(*read->engines_since, 5U);
  cr_assert_eq(read->removed_engines.at(0), "e1");
  const auto full = gateway::decodeSnapshot(gateway::encodeSnapshot(gateway::PeerSnapshot{}));
  cr_assert_not(full->engines_since.has_value());
}
