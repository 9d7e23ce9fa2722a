#include "daemon/ownership/engine_ownership.h"

#include <criterion/criterion.h>

using namespace linenpier;
using ownership::EngineOwnership;

namespace {

constexpr Instant kStart{std::chrono::seconds(10)};

ownership::OwnershipOptions settledAtOnce() {
  ownership::OwnershipOptions options;
  options.settling_time = Duration::zero();
  return options;
}

std::vector<wire::MemberRecord> members(int count) {
  std::vector<wire::MemberRecord> result;
  for (int i = 0; i < count; ++i) {
    wire::MemberRecord member;
    member.id = DaemonId("d" + std::to_string(i));
    result.push_back(member);
  }
  return result;
}

std::map<EngineId, upstream::EngineState> engines(int count) {
  std::map<EngineId, upstream::EngineState> result;
  for (int i = 0; i < count; ++i) result[EngineId("e" + std::to_string(i))] = {};
  return result;
}

EngineOwnership::Work tickOf(EngineOwnership& ownership, Instant now,
                             const std::vector<wire::MemberRecord>& zone_members,
                             const std::map<EngineId, upstream::EngineState>& all) {
  ownership.assign(zone_members, all);
  return ownership.onTick(now);
}

}  // namespace

Test(engine_ownership, every_engine_has_exactly_one_owner_and_survivors_keep_theirs) {
  std::vector<EngineOwnership> owners;
  for (int i = 0; i < 4; ++i)
    owners.emplace_back(DaemonId("d" + std::to_string(i)), settledAtOnce());
  const auto all = engines(40);
  std::map<EngineId, int> before;
  for (int i = 0; i < 4; ++i) {
    for (const EngineId& id : tickOf(owners[i], kStart, members(4), all).polls) {
      cr_assert(before.emplace(id, i).second, "two owners");
    }
  }
  cr_assert_eq(before.size(), 40U);
  for (int i = 0; i < 3; ++i) tickOf(owners[i], kStart, members(3), all);
  for (const auto& [id, owner] : before) {
    if (owner < 3) cr_assert(owners[owner].isAssigned(id), "moved without need");
  }
}

Test(engine_ownership, engines_are_polled_without_a_claim_but_commanded_only_with_one) {
  EngineOwnership ownership(DaemonId("d0"), settledAtOnce());
  const auto work = tickOf(ownership, kStart, members(1), engines(1));
  const EngineId engine("e0");
  cr_assert_eq(work.polls.size(), 1U);
  cr_assert_eq(work.claims.size(), 1U);
  cr_assert_not(ownership.token(engine).has_value());
  ownership.onClaimDone(kStart, engine, 17);
  cr_assert_eq(ownership.token(engine).value(), 17U);
}

Test(engine_ownership, nothing_is_written_again_while_nothing_changes) {
  EngineOwnership ownership(DaemonId("d0"), settledAtOnce());
  Instant now = kStart;
  for (int second = 0; second < 600; ++second) {
    now += std::chrono::seconds(1);
    for (const EngineId& id : tickOf(ownership, now, members(1), engines(10)).claims) {
      ownership.onClaimDone(now, id, 5);
    }
  }
  cr_assert_eq(ownership.claimsMade(), 10U);
}

Test(engine_ownership, a_fenced_owner_claims_anew_after_a_pause) {
  EngineOwnership ownership(DaemonId("d0"), settledAtOnce());
  const EngineId engine("e0");
  tickOf(ownership, kStart, members(1), engines(1));
  ownership.onClaimDone(kStart, engine, 3);
  ownership.onFenced(kStart, engine);
  cr_assert_not(ownership.token(engine).has_value());
  cr_assert(tickOf(ownership, kStart, members(1), engines(1)).claims.empty());
  const auto later = tickOf(ownership, kStart + std::chrono::seconds(3), members(1), engines(1));
  cr_assert_eq(later.claims.size(), 1U);
}

Test(engine_ownership, a_new_daemon_polls_at_once_but_claims_only_when_its_view_has_settled) {
  EngineOwnership ownership(DaemonId("d0"), {});
  const auto first = tickOf(ownership, kStart, members(1), engines(20));
  cr_assert_eq(first.polls.size(), 20U);
  cr_assert(first.claims.empty());
  // Another member comes into sight: the time begins anew.
  tickOf(ownership, kStart + std::chrono::seconds(3), members(2), engines(20));
  const auto quiet = kStart + std::chrono::seconds(6);
  cr_assert(ownership.onTick(quiet).claims.empty());
  const auto later = ownership.onTick(kStart + std::chrono::seconds(7));
  cr_assert_gt(later.claims.size(), 0U);
}
