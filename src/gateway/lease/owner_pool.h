#pragma once

/** @file
 * Decides whether this daemon is a candidate for owning jobs and leader locks. Does no I/O; loop
 * thread only.
 *
 * Machines in a fleet differ in speed, so the daemon that happens to receive a job should not own
 * it by default. A few daemons are candidates: each renews a lease even while it owns nothing and
 * publishes its capacity in the row, which all daemons read.
 */

#include <optional>
#include <set>
#include <vector>

#include "gateway/lease/capacity_estimator.h"
#include "gateway/lease/lease_table.h"

namespace linenpier::lease {

/** How many candidates for owning jobs and leader locks are required. */
struct pool_requirements {
  /** Candidates required within a set of zones, for jobs that must stay in these zones. */
  struct zone_requirement {
    std::set<ZoneName> zones;
    std::size_t min_candidates = 0;

    bool operator==(const zone_requirement&) const = default;
  };

  std::size_t min_candidates = 0;  ///< Candidates required in the whole fleet.
  std::vector<zone_requirement> zone_requirements = {};

  bool operator==(const pool_requirements&) const = default;
};

/** Invariant: daemons that read the same leases compute the same ranking, so that the pool
 * converges on the best candidates without a coordinator.
 */
class owner_pool {
 public:
  /** @param zone zone of this daemon; empty: unknown. */
  owner_pool(const lease_table& leases, machine_limits limits, ZoneName zone = {})
      : leases_(leases), zone_(std::move(zone)), capacity_(limits) {}

  /** Records that a timer of this daemon ran this long after it was due. */
  void onTimerLateness(Duration lateness) { this->capacity_.onTimerLateness(lateness); }
  /** Decides after a read of the leases whether this daemon is a candidate. @return whether the
   * decision changed.
   */
  bool onLeasesRead(Instant now, const pool_requirements& wanted);

  bool isCandidate() const { return this->candidate_; }
  double capacity() const { return this->capacity_.value(); }
  const ZoneName& zone() const { return this->zone_; }
  /** @return the live candidates, best first, including this daemon if it is a candidate. */
  std::vector<owner_candidate> ranked(Instant now) const;
  /** @return how long this daemon waits before it takes over `subject`. */
  Duration takeoverDelay(Instant now, const std::string& subject) const;

 private:
  /** @return how long this daemon waits before it joins a pool that lacks members. */
  Duration joinDelay(const std::vector<owner_candidate>& members) const;
  /** @return whether the pool needs this daemon: fewer candidates than required rank above it,
   * either in the whole fleet or in one of the required sets of zones that include its zone.
   */
  bool lacksMembers(const pool_requirements& wanted,
                    const std::vector<owner_candidate>& others) const;

  const lease_table& leases_;
  ZoneName zone_;
  capacity_estimator capacity_;
  bool candidate_ = false;
  /// Time of the first of the successive reads that showed missing members; empty if none is
  /// missing.
  std::optional<Instant> members_missing_since_;
};

/** @return whether `one` ranks before `other`. Capacities that differ little count as equal; then a
 * hash of the daemons' names decides, which spreads owners over zones.
 */
bool ranksHigher(const owner_candidate& one, const owner_candidate& other);

}  // namespace linenpier::lease
