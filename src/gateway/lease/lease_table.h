#pragma once

/// @file
/// Who is alive, as told by lease rows in the store. An owner renews its row while it owns
/// something; observers read the rows now and then and measure the silence by their own steady
/// clocks. Pure.
///
/// Leases only decide when others try to take over. That two owners never act under one right is
/// decided by conditional writes on the row of what is owned.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"
#include "gateway/lease/lease_row.h"

namespace linenpier::lease {

struct LeaseTimes {
  Duration renewal = std::chrono::milliseconds(400);
  /// An owner acts under a lease only this long after it sent the last successful renewal.
  Duration validity = std::chrono::milliseconds(1000);
  /// Silence after which others may take over.
  Duration expiry = std::chrono::milliseconds(1500);
  /// A store that answers late takes renewals late, too: silence is judged by this many times the
  /// delay of the observer's own reads more …
  int delays_allowed = 6;
  /// … unless they take no longer than this …
  Duration usual_delay = std::chrono::milliseconds(20);
  /// … and by no more than this.
  Duration max_allowance = std::chrono::seconds(3);
  /// Silence that is unusual: a renewal or two were missed.
  Duration suspicion = std::chrono::milliseconds(700);
  /// Silence after which a row is of no use to anybody.
  Duration forget = std::chrono::seconds(60);
};

/// A live daemon that told what it can carry.
struct OwnerCandidate {
  LeaseId lease;
  double capacity = 0;
  ZoneName zone = {};  ///< Empty: not told.

  bool operator==(const OwnerCandidate&) const = default;
};

class LeaseTable {
 public:
  /// @param started_at when this life began.
  LeaseTable(LeaseId own, LeaseTimes times, Instant started_at)
      : own_(std::move(own)), times_(times), started_at_(started_at) {}

  /// @return how long this daemon lets others go first for something that nobody owns. Daemons that
  ///     started last go first: in a rolling restart they are the ones that stay.
  Duration takeoverDelay(Instant now, const std::string& what) const;

  void onRow(Instant now, const LeaseId& lease, Revision revision);
  /// All rows were read: `rows`, as of a moment between `sent_at` and `now`. How long that took
  /// tells how late renewals may be.
  void onRead(Instant sent_at, Instant now, const std::map<LeaseId, LeaseRow>& rows);
  /// The store answers from now on; silence before says nothing.
  void onStoreRegained(Instant now) { store_healthy_since_ = now; }
  void onStoreLost() { store_healthy_since_.reset(); }
  bool storeHealthy() const { return store_healthy_since_.has_value(); }

  /// @return whether the owner has been silent for long enough, or is an earlier life of this
  ///     daemon. Never for this life. Silence counts up to the last read only.
  bool expired(const LeaseId& lease);
  /// @return whether an owner has been silent for longer than is usual, and not for so long that
  ///     others must have taken over.
  bool anySuspect(Instant now) const;
  /// @return whether the owner's row was seen to be renewed lately, or it is this life.
  bool alive(Instant now, const LeaseId& lease) const;
  /// @return the other daemons that live and told their capacity.
  std::vector<OwnerCandidate> candidates(Instant now) const;
  /// @return the zone of the lease's daemon; empty if it was not told.
  ZoneName zoneOf(const LeaseId& lease) const;
  /// @return where other daemons that hold leases may be asked. They reached the store when it was
  ///     last read, so that they are likely to know what a daemon without it misses.
  std::vector<Address> peers() const;
  /// @return the engines with runs that a step waits for, by the word of owners that live: what
  /// cuts
  ///     such a run delays the step. As old as a renewal and a read.
  std::set<EngineId> awaited(Instant now) const;
  /// @return leases that nobody has renewed for so long that their rows may be removed.
  std::vector<LeaseId> forgotten(Instant now) const;
  /// @return the revision of the lease's row as last seen; 0 if it was never seen.
  Revision seenRevision(const LeaseId& lease) const;
  /// @return whether the lease is of another life of the same daemon.
  bool isEarlierSelf(const LeaseId& lease) const;
  /// @return how much longer than usual an owner may be silent, as the store answers now.
  Duration allowance() const { return allowance_; }
  const LeaseId& own() const { return own_; }
  const LeaseTimes& times() const { return times_; }

 private:
  struct Observation {
    LeaseRow row;  ///< Its revision only rises.
    Instant changed_at{};
  };
  LeaseId own_;
  LeaseTimes times_;
  Instant started_at_{};
  std::map<LeaseId, Observation> rows_;  ///< As last seen; an absent row counts from its asking.
  Duration allowance_{};
  Instant read_at_{};  ///< When the last read that was answered was sent.
  std::optional<Instant> store_healthy_since_;
};

}  // namespace linenpier::lease
