#include "gateway/lease/owner_pool.h"

#include <algorithm>
#include <cmath>

#include "common/hash.h"

namespace linenpier::lease {

namespace {

/// Extra takeover delay of daemons outside the pool. It exceeds all takeover delays of members, so
/// that other daemons take over only if no member does.
constexpr Duration kNonCandidateDelay = std::chrono::milliseconds(600);
/// Number of steps per doubling of the capacity. Capacities are compared in these logarithmic
/// steps, so that timer jitter does not change the ranking.
constexpr double kStepsPerDoubling = 2;
constexpr double kMinCapacity = 1e-6;  ///< Lower bound for the logarithm.

/// Time over which the joins to a pool that lacks members are spread, so that most daemons of a
/// large fleet see a full pool before they would join. Of 300 daemons, some 20 may join per second,
/// and each sees the new members after about a second.
constexpr Duration kJoinSpread = std::chrono::seconds(12);
/// Maximum factor by which a daemon with less capacity than the best member joins later. The factor
/// is limited, so that a fleet of slow machines still gets owners.
constexpr double kMaxJoinFactor = 4;
constexpr std::uint64_t kJoinSteps = 1000;

long capacityStep(double capacity) {
  return std::lround(kStepsPerDoubling * std::log2(std::max(capacity, kMinCapacity)));
}

}  // namespace

bool ranksHigher(const owner_candidate& one, const owner_candidate& other) {
  const long step = capacityStep(one.capacity);
  const long other_step = capacityStep(other.capacity);
  if (step != other_step) return step > other_step;
  const std::string name = daemonOf(one.lease);
  const std::string other_name = daemonOf(other.lease);
  const std::uint64_t hash = hash64(name);
  const std::uint64_t other_hash = hash64(other_name);
  return hash != other_hash ? hash < other_hash : name < other_name;
}

std::vector<owner_candidate> owner_pool::ranked(Instant now) const {
  std::vector<owner_candidate> candidates = this->leases_.candidates(now);
  if (this->candidate_) candidates.push_back({this->leases_.own(), this->capacity(), this->zone_});
  std::sort(candidates.begin(), candidates.end(), ranksHigher);
  return candidates;
}

bool owner_pool::lacksMembers(const pool_requirements& wanted,
                              const std::vector<owner_candidate>& others) const {
  const owner_candidate self{this->leases_.own(), this->capacity(), this->zone_};
  std::vector<ZoneName> better;  // Zones of the better candidates.
  for (const owner_candidate& each : others) {
    if (ranksHigher(each, self)) better.push_back(each.zone);
  }
  if (better.size() < wanted.min_candidates) return true;
  return std::any_of(
      wanted.zone_requirements.begin(), wanted.zone_requirements.end(), [&](const auto& required) {
        if (!required.zones.contains(this->zone_)) return false;
        const auto there = std::count_if(
            better.begin(), better.end(),
            [&required](const ZoneName& zone) { return required.zones.contains(zone); });
        return static_cast<std::size_t>(there) < required.min_candidates;
      });
}

bool owner_pool::onLeasesRead(Instant now, const pool_requirements& wanted) {
  const std::vector<owner_candidate> others = this->leases_.candidates(now);
  if (!this->lacksMembers(wanted, others)) {
    this->members_missing_since_.reset();
  } else if (!this->members_missing_since_) {
    this->members_missing_since_ = now;
  }
  const bool before = this->candidate_;
  this->candidate_ = this->members_missing_since_ &&
                     (before || now - *this->members_missing_since_ >= this->joinDelay(others));
  return this->candidate_ != before;
}

Duration owner_pool::joinDelay(const std::vector<owner_candidate>& members) const {
  double best = this->capacity();
  for (const owner_candidate& each : members) best = std::max(best, each.capacity);
  const double factor = std::min(best / this->capacity(), kMaxJoinFactor);
  const auto step = static_cast<std::int64_t>(hash64(this->leases_.own().str()) % kJoinSteps);
  return fromSeconds(toSeconds(kJoinSpread) * factor * static_cast<double>(step) / kJoinSteps);
}

Duration owner_pool::takeoverDelay(Instant now, const std::string& subject) const {
  const bool preferred = this->candidate_ || this->leases_.candidates(now).empty();
  const Duration extra = preferred ? Duration::zero() : kNonCandidateDelay;
  return this->leases_.takeoverDelay(now, subject) + extra;
}

}  // namespace linenpier::lease
