#include "gateway/service/engine_changes.h"

#include <criterion/criterion.h>

#include "gateway/service/peer_snapshot.h"

using namespace linenpier;
using gateway::engine_changes;

namespace {

const EngineId kOne("e1");
const EngineId kOther("e2");

}  // namespace

Test(engine_changes, only_what_changed_since_is_told) {
  engine_changes changes;
  changes.begin(100);
  changes.onChange(kOne, 110);
  changes.onChange(kOther, 120);
  cr_assert(*changes.since(100) == std::set<EngineId>({kOne, kOther}));
  cr_assert(*changes.since(110) == std::set<EngineId>({kOther}));
  cr_assert(changes.since(120)->empty());
}

Test(engine_changes, whoever_knows_nothing_or_too_little_is_told_all) {
  engine_changes changes;
  changes.begin(100);
  cr_assert_not(changes.since(0).has_value());
  cr_assert_not(changes.since(99).has_value());
}

Test(engine_changes, a_change_without_a_revision_is_told_to_everybody) {
  engine_changes changes;
  changes.begin(100);
  changes.onChange(kOne, 0);
  changes.onChange(kOther, 120);
  cr_assert(*changes.since(120) == std::set<EngineId>({kOne}));
}

Test(engine_changes, old_changes_are_forgotten_and_not_passed_over) {
  engine_changes changes(2);
  changes.begin(100);
  changes.onChange(EngineId("a"), 101);
  changes.onChange(EngineId("b"), 102);
  changes.onChange(EngineId("c"), 103);
  cr_assert_not(changes.since(100).has_value(), "the change of 101 is gone");
  cr_assert_eq(changes.since(101)->size(), 2U);
}

Test(peer_snapshot, what_the_asker_knows_is_told_with_its_call) {
  const auto known = gateway::knownByAsker(gateway::snapshotTarget({7, 1234}));
  cr_assert_eq(known.config_version, 7U);
  cr_assert_eq(known.engines_revision, 1234U);
  const auto older = gateway::knownByAsker("/snapshot");
  cr_assert_eq(older.config_version, 0U);
  cr_assert_eq(older.engines_revision, 0U);
}

Test(peer_snapshot, changes_since_a_revision_are_read_as_such) {
  gateway::PeerSnapshot told;
  told.engines_since = 5;
  told.engines_gone = {"e1"};
  const auto read = gateway::decodeSnapshot(gateway::encodeSnapshot(told));
  cr_assert_eq(*read->engines_since, 5U);
  cr_assert_eq(read->engines_gone.at(0), "e1");
  const auto whole = gateway::decodeSnapshot(gateway::encodeSnapshot(gateway::PeerSnapshot{}));
  cr_assert_not(whole->engines_since.has_value());
}
