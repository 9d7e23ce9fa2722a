#pragma once

/// @file
/// Who is alive, as told by lease rows in the store. An owner renews its row while it owns
/// something; observers measure the silence by their own steady clocks. Pure.
///
/// Leases only decide when others try to take over. That two owners never act under one right is
/// decided by conditional writes on the row of what is owned.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "batch/batch_types.h"
#include "common/time.h"
#include "table/table_client.h"

namespace linenpier::lease {

using batch::LeaseId;

struct LeaseTimes {
  Duration renewal = std::chrono::milliseconds(400);
  /// An owner acts under a lease only this long after it sent the last successful renewal.
  Duration validity = std::chrono::milliseconds(1000);
  /// Silence after which others may take over.
  Duration expiry = std::chrono::milliseconds(1500);
};

/// @return the lease id of one life of a daemon.
LeaseId makeLeaseId(const std::string& daemon, const std::string& incarnation);
/// @return the daemon that the lease belongs to.
std::string daemonOf(const LeaseId& lease);

class LeaseTable {
 public:
  /// @param started_at when this life began.
  LeaseTable(LeaseId own, LeaseTimes times, Instant started_at)
      : own_(std::move(own)), times_(times), started_at_(started_at) {}

  /// @return how long this daemon lets others go first for something that nobody owns. Daemons that
  ///     started last go first: in a rolling restart they are the ones that stay.
  Duration courtesy(Instant now, const std::string& what) const;

  void onRow(Instant now, const LeaseId& lease, Revision revision);
  void onGone(const LeaseId& lease) { rows_.erase(lease); }
  /// The feed works from now on; silence before says nothing.
  void onFeedRegained(Instant now) { feed_healthy_since_ = now; }
  void onFeedLost() { feed_healthy_since_.reset(); }
  bool feedHealthy() const { return feed_healthy_since_.has_value(); }

  /// @return whether the owner has been silent for long enough, or is an earlier life of this
  ///     daemon. Never for this life.
  bool expired(Instant now, const LeaseId& lease);
  /// @return the revision of the lease's row as last seen; 0 if it was never seen.
  Revision seenRevision(const LeaseId& lease) const;
  /// @return whether the lease is of another life of the same daemon.
  bool isEarlierSelf(const LeaseId& lease) const;
  const LeaseId& own() const { return own_; }
  const LeaseTimes& times() const { return times_; }

 private:
  struct Observation {
    Revision revision = 0;
    Instant changed_at{};
  };
  LeaseId own_;
  LeaseTimes times_;
  Instant started_at_{};
  std::map<LeaseId, Observation> rows_;  ///< As last seen; an absent row counts from its asking.
  std::optional<Instant> feed_healthy_since_;
};

}  // namespace linenpier::lease
