#pragma once

/// @file
/// Which daemons offer to own jobs and rights. In a fleet of unequal machines whoever happens to
/// receive a job would own it, however slow it is. So a few daemons offer themselves: they renew a
/// lease while they own nothing, too, and tell with it what they can carry. Everybody sees them in
/// the leases that are read anyway. Pure.

#include <optional>
#include <vector>

#include "lease/lease_table.h"
#include "lease/own_capacity.h"

namespace linenpier::lease {

/// Invariant: all daemons that read the same leases rank the same daemons alike, so that the pool
/// settles on the best ones without anybody who decides.
class OwnerPool {
 public:
  OwnerPool(const LeaseTable& leases, MachineLimits limits) : leases_(leases), capacity_(limits) {}

  void onTimer(Duration lateness) { capacity_.onTimer(lateness); }
  /// The leases were read. Decides whether this daemon offers itself.
  /// @param wanted daemons that should.
  /// @return whether the decision changed.
  bool onLeasesRead(Instant now, std::size_t wanted);

  bool offers() const { return offers_; }
  double capacity() const { return capacity_.value(); }
  /// @return the live daemons that told their capacity, best first; this one if it offers itself.
  std::vector<OwnerCandidate> ranked(Instant now) const;
  /// @return how long this daemon lets others go first for something that nobody owns.
  Duration courtesy(Instant now, const std::string& what) const;

 private:
  const LeaseTable& leases_;
  /// @return how long this daemon waits before it joins a pool that lacks members.
  Duration joinDelay(const std::vector<OwnerCandidate>& members) const;

  OwnCapacity capacity_;
  bool offers_ = false;
  std::optional<Instant> lacking_since_;  ///< When the pool was first seen to lack members.
};

/// @return whether `one` is the better owner. Capacities that differ by little count as equal; then
///     a hash of the daemons' names decides, which spreads owners over zones.
bool betterOwner(const OwnerCandidate& one, const OwnerCandidate& other);

}  // namespace linenpier::lease
