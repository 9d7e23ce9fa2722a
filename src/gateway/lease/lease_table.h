#pragma once

/** @file
 * Which daemons are alive, judged by their lease rows in the store. Pure; loop thread only.
 *
 * Every daemon that owns something, or offers to, renews its row. The others read all rows now and
 * then (`lease_poller`) and measure by their own steady clock how long a row has not changed.
 *
 * A lease only decides when others try to take over. That no two owners act at once is decided by
 * conditional writes on the row of what is owned (see leader_lock.h).
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

/** A live daemon that offers to own jobs and leader locks. */
struct owner_candidate {
  LeaseId lease;
  double capacity = 0;  ///< See `capacity_estimator::value`.
  ZoneName zone = {};   ///< Empty: not known.

  bool operator==(const owner_candidate&) const = default;
};

class lease_table {
 public:
  /** @param started_at when this life of the daemon began. */
  lease_table(LeaseId own, lease_times times, Instant started_at)
      : own_(std::move(own)), times_(times), started_at_(started_at) {}

  /** A lease's row was seen under this revision. */
  void onRow(Instant now, const LeaseId& lease, Revision revision);
  /** All rows were read, as of a moment between `sent_at` and `now`. The read's delay sets the
   * allowance.
   */
  void onRead(Instant sent_at, Instant now, const std::map<LeaseId, lease_row>& rows);
  /** The store answers from now on. Silence until now says nothing about owners. */
  void onStoreRegained(Instant now) { this->store_healthy_since_ = now; }
  void onStoreLost() { this->store_healthy_since_.reset(); }
  bool storeHealthy() const { return this->store_healthy_since_.has_value(); }

  /** @return whether others may take over from the owner: it has been silent for the expiry and the
   *     allowance, or it is an earlier life of this daemon. Never for this life, and never while
   *     the store does not answer. Silence counts up to the last read only.
   */
  bool expired(const LeaseId& lease);
  /** @return whether some owner has missed a renewal, but not yet so long ago that others must have
   *     taken over.
   */
  bool anySuspect(Instant now) const;
  /** @return whether the lease's row was renewed lately, or it is this life's. */
  bool alive(Instant now, const LeaseId& lease) const;
  /** @return whether the lease belongs to another life of this daemon, which has ended for sure. */
  bool isPreviousIncarnation(const LeaseId& lease) const;
  /** @return the other live daemons that stated a capacity. */
  std::vector<owner_candidate> candidates(Instant now) const;
  /** @return the zone of the lease's daemon; empty if it is not known. */
  ZoneName zoneOf(const LeaseId& lease) const;
  /** @return where other daemons with leases may be asked. They reached the store when it was last
   *     read, so they are likely to know what a daemon without it misses.
   */
  std::vector<Address> peers() const;
  /** @return engines with runs that a step waits for, as their live owners state them. As old as a
   *     renewal and a read together.
   */
  std::set<EngineId> awaited(Instant now) const;
  /** @return leases whose rows may be removed from the store: ended lives of this daemon, and any
   *     that were silent for the removal age.
   */
  std::vector<LeaseId> removable(Instant now) const;
  /** @return the revision of the lease's row as last seen; 0 if it was never seen. */
  Revision seenRevision(const LeaseId& lease) const;

  /** @return how long this daemon lets others go first in taking over `subject`. Grows with the age
   *     of this life: in a rolling restart the daemons that started last are the ones that stay.
   */
  Duration takeoverDelay(Instant now, const std::string& subject) const;
  /** @return how much longer than the expiry an owner may be silent, as slow as the store is. */
  Duration allowance() const { return this->allowance_; }
  const LeaseId& own() const { return this->own_; }
  const lease_times& times() const { return this->times_; }

 private:
  struct observation {
    lease_row row;         ///< Its revision only rises.
    Instant changed_at{};  ///< When the revision last rose, by this daemon's clock.
  };

  LeaseId own_;
  lease_times times_;
  Instant started_at_{};
  /// As last seen. Of a lease without a row: with revision 0, silent since it was first asked for.
  std::map<LeaseId, observation> rows_;
  Duration allowance_{};
  Instant read_at_{};                           ///< When the last read that was answered was sent.
  std::optional<Instant> store_healthy_since_;  ///< Empty while the store does not answer.
};

}  // namespace linenpier::lease
