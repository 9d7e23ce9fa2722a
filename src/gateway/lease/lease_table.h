#pragma once

/** @file
 * Determines which daemons are alive from their lease rows in the store. Does no I/O; loop thread
 * only.
 *
 * Every daemon that owns something, or is a candidate owner, renews its row. The others read all
 * rows periodically (`lease_poller`) and measure by their own steady clock how long a row has been
 * unchanged.
 *
 * An expired lease only allows others to attempt a takeover. Mutual exclusion between owners relies
 * on conditional writes to the row of the owned resource (see leader_lock.h).
 */

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"
#include "gateway/lease/lease_row.h"
#include "gateway/lease/lease_times.h"

namespace linenpier::lease {

/** A live daemon that is a candidate for owning jobs and leader locks. */
struct owner_candidate {
  LeaseId lease;
  double capacity = 0;  ///< Capacity of the daemon in processors.
  ZoneName zone = {};   ///< Zone of the daemon; empty: unknown.

  bool operator==(const owner_candidate&) const = default;
};

class lease_table {
 public:
  /** @param started_at when this incarnation of the daemon started. */
  lease_table(LeaseId own, lease_times times, Instant started_at)
      : own_(std::move(own)), times_(times), started_at_(started_at) {}

  /** Handles a lease's row that was read from the store. */
  void onRow(Instant now, const LeaseId& lease, Revision revision);
  /** Handles a read of all rows that was sent at `sent_at` and answered at `now`, and adapts
   * `allowance()` to the delay of the read.
   */
  void onRead(Instant sent_at, Instant now, const std::map<LeaseId, lease_row>& rows);
  /** Records that the store responds again. The time until now does not count towards the expiry of
   * a lease.
   */
  void onStoreRegained(Instant now) { this->store_healthy_since_ = now; }
  void onStoreLost() { this->store_healthy_since_.reset(); }
  bool storeHealthy() const { return this->store_healthy_since_.has_value(); }

  /** @return whether others may take over from the owner: its lease was not renewed for the expiry
   * plus `allowance()`, or belongs to a previous incarnation of this daemon. Always false for this
   * daemon's own lease and, for other daemons, while the store does not respond. Time after the
   * last read does not count towards the expiry.
   */
  bool expired(const LeaseId& lease);
  /** @return whether some owner has missed a renewal recently enough that a takeover may be
   * pending.
   */
  bool anySuspect(Instant now) const;
  /** @return whether the lease is this daemon's own or was renewed within the expiry. */
  bool alive(Instant now, const LeaseId& lease) const;
  /** @return whether the lease belongs to another incarnation of this daemon, which has ended. */
  bool isPreviousIncarnation(const LeaseId& lease) const;
  /** @return the other live daemons that published a capacity. */
  std::vector<owner_candidate> candidates(Instant now) const;
  /** @return the zone of the lease's daemon; empty if unknown. */
  ZoneName zoneOf(const LeaseId& lease) const;
  /** @return the peer addresses of other daemons with leases. They reached the store recently, so
   * they can relay for a daemon that cannot reach it.
   */
  std::vector<Address> peers() const;
  /** @return engines that are running an item whose result a step is waiting for, as published by
   * live owners. The set may lag by one renewal interval plus one read interval.
   */
  std::set<EngineId> awaited(Instant now) const;
  /** @return leases whose rows may be removed from the store: those of previous incarnations of
   * this daemon, and any not renewed for the removal age.
   */
  std::vector<LeaseId> removable(Instant now) const;
  /** @return the revision of the lease's row as last seen; 0 if it was never seen. */
  Revision seenRevision(const LeaseId& lease) const;

  /** @return how long this daemon waits before it takes over `subject`. The delay increases with
   * the daemon's uptime, because a rolling restart is not about to restart a recently started
   * daemon.
   */
  Duration takeoverDelay(Instant now, const std::string& subject) const;
  /** @return the extension of the expiry that accounts for a slow store. */
  Duration allowance() const { return this->allowance_; }
  const LeaseId& own() const { return this->own_; }
  const lease_times& times() const { return this->times_; }

 private:
  struct observation {
    lease_row row;         ///< The row as last seen; its revision never decreases.
    Instant changed_at{};  ///< When the row's revision last increased, by this daemon's clock.
  };

  LeaseId own_;
  lease_times times_;
  Instant started_at_{};
  /// The leases as last read. A lease without a row has revision 0 and counts as unchanged since it
  /// was first queried.
  std::map<LeaseId, observation> rows_;
  Duration allowance_{};
  Instant read_at_{};                           ///< When the last successful read was sent.
  std::optional<Instant> store_healthy_since_;  ///< Empty while the store does not respond.
};

}  // namespace linenpier::lease
