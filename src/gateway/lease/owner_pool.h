#pragma once

/** @file
 * Which daemons offer to own jobs and leader locks. Pure; loop thread only.
 *
 * Machines of a fleet differ, and without a choice whoever happens to receive a job would own it,
 * however slow it is. So a few daemons offer: each renews a lease also while it owns nothing, and
 * its row states what it can carry. All daemons see them in the leases that they read anyway.
 */

#include <optional>
#include <set>
#include <vector>

#include "gateway/lease/capacity_estimator.h"
#include "gateway/lease/lease_table.h"

namespace linenpier::lease {

/** How many daemons should offer. */
struct pool_requirements {
  /** Zones in which so many must offer, whoever offers elsewhere: what must stay within them is
   * owned there.
   */
  struct zone_requirement {
    std::set<ZoneName> zones;
    std::size_t owners = 0;

    bool operator==(const zone_requirement&) const = default;
  };

  std::size_t owners = 0;  ///< Anywhere.
  std::vector<zone_requirement> zone_requirements = {};

  bool operator==(const pool_requirements&) const = default;
};

/** Invariant: daemons that read the same leases rank the same daemons alike, so that the pool
 * settles on the best ones without anybody who decides.
 */
class owner_pool {
 public:
  /** @param zone of this daemon; empty: not known. */
  owner_pool(const lease_table& leases, machine_limits limits, ZoneName zone = {})
      : leases_(leases), zone_(std::move(zone)), capacity_(limits) {}

  /** A timer of this daemon ran this long after it was due. */
  void onTimerLateness(Duration lateness) { this->capacity_.onTimerLateness(lateness); }
  /** The leases were read: decides whether this daemon offers. @return whether that changed. */
  bool onLeasesRead(Instant now, const pool_requirements& wanted);

  bool isCandidate() const { return this->candidate_; }
  double capacity() const { return this->capacity_.value(); }
  const ZoneName& zone() const { return this->zone_; }
  /** @return the live daemons that offer, best first; this one among them if it does. */
  std::vector<owner_candidate> ranked(Instant now) const;
  /** @return how long this daemon lets others go first in taking over `subject`. */
  Duration takeoverDelay(Instant now, const std::string& subject) const;

 private:
  /** @return how long this daemon waits before it joins a pool that lacks members. */
  Duration joinDelay(const std::vector<owner_candidate>& members) const;
  /** @return whether fewer better daemons offer than are wanted, anywhere or in a place that this
   *     daemon is in.
   */
  bool lacksMembers(const pool_requirements& wanted,
                    const std::vector<owner_candidate>& others) const;

  const lease_table& leases_;
  ZoneName zone_;
  capacity_estimator capacity_;
  bool candidate_ = false;
  std::optional<Instant>
      members_missing_since_;  ///< Since when each read showed that members are missing.
};

/** @return whether `one` is the better owner. Capacities that differ by little count as equal; then
 *     a hash of the daemons' names decides, which spreads owners over zones.
 */
bool ranksHigher(const owner_candidate& one, const owner_candidate& other);

}  // namespace linenpier::lease
