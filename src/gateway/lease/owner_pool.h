#pragma once

/// @file
/// Which daemons offer to own jobs and rights. In a fleet of unequal machines whoever happens to
/// receive a job would own it, however slow it is. So a few daemons offer themselves: they renew a
/// lease while they own nothing, too, and tell with it what they can carry. Everybody sees them in
/// the leases that are read anyway. Pure.

#include <optional>
#include <set>
#include <vector>

#include "gateway/lease/lease_table.h"
#include "gateway/lease/own_capacity.h"

namespace linenpier::lease {

/// How many daemons should offer themselves.
struct pool_demand {
  /// Zones in which there must be so many, whoever offers elsewhere: what must stay there is owned
  /// there.
  struct place {
    std::set<ZoneName> zones;
    std::size_t owners = 0;

    bool operator==(const place&) const = default;
  };

  std::size_t owners = 0;  ///< Anywhere.
  std::vector<place> places = {};

  bool operator==(const pool_demand&) const = default;
};

/// Invariant: all daemons that read the same leases rank the same daemons alike, so that the pool
/// settles on the best ones without anybody who decides.
class OwnerPool {
 public:
  /// @param zone that this daemon is in; empty: not told.
  OwnerPool(const LeaseTable& leases, MachineLimits limits, ZoneName zone = {})
      : leases_(leases), zone_(std::move(zone)), capacity_(limits) {}

  void onTimer(Duration lateness) { capacity_.onTimer(lateness); }
  /// The leases were read. Decides whether this daemon offers itself.
  /// @return whether the decision changed.
  bool onLeasesRead(Instant now, const pool_demand& wanted);

  bool offers() const { return offers_; }
  double capacity() const { return capacity_.value(); }
  const ZoneName& zone() const { return zone_; }
  /// @return the live daemons that told their capacity, best first; this one if it offers itself.
  std::vector<OwnerCandidate> ranked(Instant now) const;
  /// @return how long this daemon lets others go first for something that nobody owns.
  Duration takeoverDelay(Instant now, const std::string& what) const;

 private:
  const LeaseTable& leases_;
  /// @return how long this daemon waits before it joins a pool that lacks members.
  Duration joinDelay(const std::vector<OwnerCandidate>& members) const;

  /// @return whether fewer better daemons offer themselves than are wanted, anywhere or in a place
  ///     that this daemon is in.
  bool lacking(const pool_demand& wanted, const std::vector<OwnerCandidate>& others) const;

  ZoneName zone_;
  OwnCapacity capacity_;
  bool offers_ = false;
  std::optional<Instant> lacking_since_;  ///< When the pool was first seen to lack members.
};

/// @return whether `one` is the better owner. Capacities that differ by little count as equal; then
///     a hash of the daemons' names decides, which spreads owners over zones.
bool betterOwner(const OwnerCandidate& one, const OwnerCandidate& other);

}  // namespace linenpier::lease
