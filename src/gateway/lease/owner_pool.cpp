#include "gateway/lease/owner_pool.h"

#include <algorithm>
#include <cmath>

#include "common/hash.h"

namespace linenpier::lease {

namespace {

/// Daemons outside the pool wait this much longer before they take something over: twice the spread
/// of the pool's own delays, so that they only come when nobody of the pool does.
constexpr Duration kOutsiderDelay = std::chrono::milliseconds(600);
/// Capacities are told apart by steps of this power of two. A timer's jitter must not change ranks.
constexpr double kStepsPerDoubling = 2;

/// Within this time the daemons of a fleet join a pool that lacks members, one after the other, so
/// that most of them see it full before their turn: with 300 daemons some 20 a second do, and each
/// sees the others after a second.
constexpr Duration kJoinSpread = std::chrono::seconds(12);
/// Daemons that carry less than the best member come later, in proportion, but not later than this
/// many times: a fleet without better ones must not be left without owners.
constexpr double kLatestTurn = 4;
constexpr std::uint64_t kTurns = 1000;

long capacityStep(double capacity) {
  return std::lround(kStepsPerDoubling * std::log2(std::max(capacity, 1e-6)));
}

}  // namespace

bool betterOwner(const OwnerCandidate& one, const OwnerCandidate& other) {
  const long step = capacityStep(one.capacity);
  const long other_step = capacityStep(other.capacity);
  if (step != other_step) return step > other_step;
  const std::string name = daemonOf(one.lease);
  const std::string other_name = daemonOf(other.lease);
  const std::uint64_t hash = hash64(name);
  const std::uint64_t other_hash = hash64(other_name);
  return hash != other_hash ? hash < other_hash : name < other_name;
}

std::vector<OwnerCandidate> OwnerPool::ranked(Instant now) const {
  std::vector<OwnerCandidate> candidates = leases_.candidates(now);
  if (offers_) candidates.push_back({leases_.own(), capacity(), zone_});
  std::sort(candidates.begin(), candidates.end(), betterOwner);
  return candidates;
}

bool OwnerPool::lacking(const pool_demand& wanted,
                        const std::vector<OwnerCandidate>& others) const {
  const OwnerCandidate self{leases_.own(), capacity(), zone_};
  std::vector<ZoneName> better;  // Where they are.
  for (const OwnerCandidate& each : others) {
    if (betterOwner(each, self)) better.push_back(each.zone);
  }
  if (better.size() < wanted.owners) return true;
  return std::any_of(wanted.places.begin(), wanted.places.end(), [&](const auto& place) {
    if (!place.zones.contains(zone_)) return false;
    const auto there = std::count_if(better.begin(), better.end(), [&place](const ZoneName& zone) {
      return place.zones.contains(zone);
    });
    return static_cast<std::size_t>(there) < place.owners;
  });
}

bool OwnerPool::onLeasesRead(Instant now, const pool_demand& wanted) {
  const std::vector<OwnerCandidate> others = leases_.candidates(now);
  if (!lacking(wanted, others)) {
    lacking_since_.reset();
  } else if (!lacking_since_) {
    lacking_since_ = now;
  }
  const bool before = offers_;
  offers_ = lacking_since_ && (before || now - *lacking_since_ >= joinDelay(others));
  return offers_ != before;
}

Duration OwnerPool::joinDelay(const std::vector<OwnerCandidate>& members) const {
  double best = capacity();
  for (const OwnerCandidate& each : members) best = std::max(best, each.capacity);
  const double factor = std::min(best / capacity(), kLatestTurn);
  const auto turn = static_cast<std::int64_t>(hash64(leases_.own().str()) % kTurns);
  return fromSeconds(toSeconds(kJoinSpread) * factor * static_cast<double>(turn) / kTurns);
}

Duration OwnerPool::takeoverDelay(Instant now, const std::string& what) const {
  const bool first = offers_ || leases_.candidates(now).empty();
  return leases_.takeoverDelay(now, what) + (first ? Duration::zero() : kOutsiderDelay);
}

}  // namespace linenpier::lease
