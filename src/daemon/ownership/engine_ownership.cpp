#include "daemon/ownership/engine_ownership.h"

#include <algorithm>
#include <utility>

#include "daemon/membership/rendezvous.h"

namespace linenpier::ownership {

EngineOwnership::EngineOwnership(DaemonId self, OwnershipOptions options)
    : self_(std::move(self)), options_(options) {}

void EngineOwnership::assign(const std::vector<wire::MemberRecord>& zone_members,
                             const std::map<EngineId, upstream::EngineState>& engines) {
  std::map<EngineId, Assigned> next;
  for (const auto& [id, engine] : engines) {
    const wire::MemberRecord* owner = rendezvousPick(zone_members, id.str());
    if (owner == nullptr || owner->id != self_) continue;
    const auto known = engines_.find(id);
    next[id] = known == engines_.end() ? Assigned{} : known->second;
  }
  engines_ = std::move(next);
  changed_ = true;
}

EngineOwnership::Work EngineOwnership::onTick(Instant now) {
  // While a new daemon still finds others, too many engines seem to be its own. Claims made then
  // would leave the rightful owners with overtaken tokens.
  if (changed_) quiet_since_ = now;
  changed_ = false;
  if (now - quiet_since_ >= options_.settling_time) settled_ = true;

  Work work;
  auto claiming = static_cast<std::size_t>(std::count_if(
      engines_.begin(), engines_.end(), [](const auto& entry) { return entry.second.claiming; }));
  for (auto& [id, assigned] : engines_) {
    if (!assigned.polling && now >= assigned.next_poll) {
      assigned.polling = true;
      assigned.next_poll = now + options_.poll_period;
      work.polls.push_back(id);
    }
    const bool wants_claim = !assigned.token && !assigned.claiming && now >= assigned.next_claim;
    if (settled_ && wants_claim && claiming < options_.claims_at_once) {
      assigned.claiming = true;
      ++claiming;
      ++claims_made_;
      work.claims.push_back(id);
    }
  }
  return work;
}

void EngineOwnership::onPollDone(const EngineId& engine) {
  const auto found = engines_.find(engine);
  if (found != engines_.end()) found->second.polling = false;
}

void EngineOwnership::onClaimDone(Instant now, const EngineId& engine,
                                  std::optional<FencingToken> token) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  found->second.claiming = false;
  found->second.token = token;
  if (!token) found->second.next_claim = now + options_.claim_backoff;
}

void EngineOwnership::onFenced(Instant now, const EngineId& engine) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  found->second.token.reset();
  found->second.next_claim = now + options_.claim_backoff;
}

bool EngineOwnership::isAssigned(const EngineId& engine) const {
  return engines_.contains(engine);
}

std::optional<FencingToken> EngineOwnership::token(const EngineId& engine) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return std::nullopt;
  return found->second.token;
}

}  // namespace linenpier::ownership
