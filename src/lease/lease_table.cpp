#include "lease/lease_table.h"

namespace linenpier::lease {

namespace {
constexpr char kSeparator = '#';
}  // namespace

LeaseId makeLeaseId(const std::string& daemon, const std::string& incarnation) {
  return LeaseId(daemon + kSeparator + incarnation);
}

std::string daemonOf(const LeaseId& lease) {
  return lease.str().substr(0, lease.str().find(kSeparator));
}

void LeaseTable::onRow(Instant now, const LeaseId& lease, Revision revision) {
  Observation& seen = rows_[lease];
  if (revision <= seen.revision) return;
  seen.revision = revision;
  seen.changed_at = now;
}

bool LeaseTable::isEarlierSelf(const LeaseId& lease) const {
  return lease != own_ && daemonOf(lease) == daemonOf(own_);
}

bool LeaseTable::expired(Instant now, const LeaseId& lease) {
  if (lease == own_) return false;
  if (lease.empty() || isEarlierSelf(lease)) return true;
  if (!feed_healthy_since_) return false;
  const auto [at, fresh] = rows_.try_emplace(lease, Observation{0, now});
  const Instant since = std::max(at->second.changed_at, *feed_healthy_since_);
  return now - since > times_.expiry;
}

std::vector<LeaseId> LeaseTable::silentFor(Instant now, Duration silence) const {
  std::vector<LeaseId> silent;
  if (!feed_healthy_since_) return silent;
  for (const auto& [lease, seen] : rows_) {
    const Instant since = std::max(seen.changed_at, *feed_healthy_since_);
    if (lease != own_ && seen.revision > 0 && now - since > silence) silent.push_back(lease);
  }
  return silent;
}

}  // namespace linenpier::lease
