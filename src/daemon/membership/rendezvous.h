#pragma once

/// @file
/// Rendezvous hashing: every daemon that sees the same members picks the same one for a key, and a
/// member's departure moves only that member's keys.

#include <string>
#include <vector>

#include "common/hash.h"
#include "daemon/wire/messages.h"

namespace linenpier {

/// @param members candidates; order does not matter.
/// @return the member with the highest hash for `key`, or nullptr if there is none.
inline const wire::MemberRecord* rendezvousPick(const std::vector<wire::MemberRecord>& members,
                                                const std::string& key) {
  const wire::MemberRecord* best = nullptr;
  std::uint64_t best_score = 0;
  for (const wire::MemberRecord& member : members) {
    const std::uint64_t score = hash64(member.id.str(), hash64(key));
    if (best == nullptr || score > best_score) {
      best = &member;
      best_score = score;
    }
  }
  return best;
}

}  // namespace linenpier
