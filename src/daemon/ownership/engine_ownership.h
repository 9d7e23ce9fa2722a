#pragma once

/// @file
/// Which daemon polls and commands which engine.
///
/// Every live daemon of a zone computes the same owner for an engine by rendezvous hashing. The
/// owner polls the engine's load at once: reading needs no right. To give orders it first takes the
/// engine's ownership row by a conditional write; the row's new revision is its fencing token. The
/// engine refuses orders with a token below the highest it has seen, so a former owner that wakes
/// late changes nothing. Nothing is renewed, so the table is written only when an engine changes
/// hands, however many engines there are.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "common/time.h"
#include "daemon/upstream/engine_directory.h"
#include "daemon/wire/messages.h"

namespace linenpier::ownership {

struct OwnershipOptions {
  Duration poll_period = std::chrono::seconds(1);
  Duration claim_backoff = std::chrono::seconds(2);  ///< After a claim that did not succeed.
  /// A new daemon claims nothing until members and engines have not changed for this long.
  Duration settling_time = std::chrono::seconds(4);
  std::size_t claims_at_once = 4;  ///< Claims under way at most.
};

/// Pure state machine; one owner.
class EngineOwnership {
 public:
  EngineOwnership(DaemonId self, OwnershipOptions options);

  struct Work {
    std::vector<EngineId> polls;   ///< Engines whose load is to be read now.
    std::vector<EngineId> claims;  ///< Engines whose ownership row is to be taken now.
  };
  /// Computes anew which engines hash to this daemon; call when members or engines change.
  /// @param zone_members live daemons of the zone.
  void assign(const std::vector<wire::MemberRecord>& zone_members,
              const std::map<EngineId, upstream::EngineState>& engines);
  Work onTick(Instant now);
  /// A poll has ended, with or without an answer.
  void onPollDone(const EngineId& engine);
  /// @param token the row's revision, or nothing if the claim failed.
  void onClaimDone(Instant now, const EngineId& engine, std::optional<FencingToken> token);
  /// The engine refused an order of ours: somebody else has claimed it since.
  void onFenced(Instant now, const EngineId& engine);

  /// @return whether this daemon should watch the engine.
  bool isAssigned(const EngineId& engine) const;
  /// @return the token to give orders with, if this daemon holds one.
  std::optional<FencingToken> token(const EngineId& engine) const;
  std::size_t assigned() const { return engines_.size(); }
  std::uint64_t claimsMade() const { return claims_made_; }

 private:
  struct Assigned {
    std::optional<FencingToken> token;  ///< From our latest successful claim.
    Instant next_claim{};
    Instant next_poll{};
    bool claiming = false;
    bool polling = false;
  };
  DaemonId self_;
  OwnershipOptions options_;
  std::map<EngineId, Assigned> engines_;  ///< Engines that hash to this daemon.
  std::uint64_t claims_made_ = 0;
  bool settled_ = false;   ///< The view was quiet for the settling time once.
  bool changed_ = true;    ///< Assigned anew since the last tick.
  Instant quiet_since_{};  ///< Last tick that saw a change; unused once settled.
};

}  // namespace linenpier::ownership
