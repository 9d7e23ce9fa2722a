#include "gateway/lease/lease_table.h"

#include <algorithm>

#include "common/hash.h"

namespace linenpier::lease {

namespace {

/// The takeover delay increases with the daemon's uptime until the uptime reaches this value.
constexpr Duration kMaxCountedUptime = std::chrono::seconds(60);
/// Takeover delay, without the jitter, of a daemon whose uptime is `kMaxCountedUptime` or more.
constexpr Duration kMaxUptimeDelay = std::chrono::milliseconds(300);
/// Maximum jitter of the takeover delay. It is computed from a hash of daemon and subject, so that
/// daemons with equal uptimes have different delays.
constexpr Duration kMaxJitter = std::chrono::milliseconds(80);
constexpr std::int64_t kJitterSteps = 100;

}  // namespace

Duration lease_table::takeoverDelay(Instant now, const std::string& subject) const {
  const Duration uptime = std::min(now - this->started_at_, kMaxCountedUptime);
  const auto step =
      static_cast<std::int64_t>(hash64(this->own_.str(), hash64(subject)) % kJitterSteps);
  return kMaxUptimeDelay * uptime.count() / kMaxCountedUptime.count() +
         kMaxJitter * step / kJitterSteps;
}

void lease_table::onRow(Instant now, const LeaseId& lease, Revision revision) {
  observation& seen = this->rows_[lease];
  if (revision <= seen.row.revision) return;
  seen.row.revision = revision;
  seen.changed_at = now;
}

bool lease_table::isPreviousIncarnation(const LeaseId& lease) const {
  return lease != this->own_ && daemonOf(lease) == daemonOf(this->own_);
}

void lease_table::onRead(Instant sent_at, Instant now, const std::map<LeaseId, lease_row>& rows) {
  for (const auto& [lease, row] : rows) {
    this->onRow(now, lease, row.revision);
    observation& seen = this->rows_[lease];
    const Revision newest = seen.row.revision;
    seen.row = row;
    seen.row.revision = newest;
  }
  // Leases that never had a row are kept, because their expiry counts from the first query.
  std::erase_if(this->rows_, [&](const auto& each) {
    return each.second.row.revision > 0 && !rows.contains(each.first);
  });
  this->read_at_ = std::max(this->read_at_, sent_at);
  const Duration excess = std::max(now - sent_at - this->times_.tolerated_delay, Duration::zero());
  const Duration wanted =
      std::min(excess * this->times_.allowance_factor, this->times_.max_allowance);
  // The allowance at most halves per read, so that a single fast response does not reset it.
  this->allowance_ = std::max(wanted, this->allowance_ / 2);
}

bool lease_table::expired(const LeaseId& lease) {
  if (lease == this->own_) return false;
  if (lease.empty() || this->isPreviousIncarnation(lease)) return true;
  if (!this->store_healthy_since_) return false;
  const auto [at, fresh] = this->rows_.try_emplace(lease, observation{{}, this->read_at_});
  const Instant since = std::max(at->second.changed_at, *this->store_healthy_since_);
  return this->read_at_ - since > this->times_.expiry + this->allowance_;
}

bool lease_table::anySuspect(Instant now) const {
  return std::any_of(this->rows_.begin(), this->rows_.end(), [&](const auto& each) {
    const Duration since_change = now - each.second.changed_at;
    return each.first != this->own_ && since_change > this->times_.suspicion &&
           since_change < 2 * this->times_.expiry;
  });
}

bool lease_table::alive(Instant now, const LeaseId& lease) const {
  if (lease == this->own_) return true;
  const auto at = this->rows_.find(lease);
  if (at == this->rows_.end() || at->second.row.revision == 0) return false;
  // During a store outage nobody can renew, so daemons alive at the last read still count as alive.
  const Instant as_of = this->store_healthy_since_ ? now : this->read_at_;
  return as_of - at->second.changed_at < this->times_.expiry;
}

std::vector<owner_candidate> lease_table::candidates(Instant now) const {
  std::vector<owner_candidate> found;
  for (const auto& [lease, seen] : this->rows_) {
    const bool other = lease != this->own_ && !this->isPreviousIncarnation(lease);
    const bool eligible = other && seen.row.capacity > 0 && this->alive(now, lease);
    if (eligible) found.push_back({lease, seen.row.capacity, seen.row.zone});
  }
  return found;
}

ZoneName lease_table::zoneOf(const LeaseId& lease) const {
  const auto at = this->rows_.find(lease);
  return at == this->rows_.end() ? ZoneName() : at->second.row.zone;
}

std::vector<Address> lease_table::peers() const {
  std::set<Address> found;
  for (const auto& [lease, seen] : this->rows_) {
    const bool other = lease != this->own_ && !this->isPreviousIncarnation(lease);
    if (other && seen.row.peer) found.insert(*seen.row.peer);
  }
  return {found.begin(), found.end()};
}

std::set<EngineId> lease_table::awaited(Instant now) const {
  std::set<EngineId> found;
  for (const auto& [lease, seen] : this->rows_) {
    if (!this->alive(now, lease)) continue;
    found.insert(seen.row.awaited.begin(), seen.row.awaited.end());
  }
  return found;
}

std::vector<LeaseId> lease_table::removable(Instant now) const {
  std::vector<LeaseId> found;
  for (const auto& [lease, seen] : this->rows_) {
    if (lease == this->own_ || seen.row.revision == 0) continue;
    const bool stale = now - seen.changed_at > this->times_.removal_age;
    if (stale || this->isPreviousIncarnation(lease)) found.push_back(lease);
  }
  return found;
}

Revision lease_table::seenRevision(const LeaseId& lease) const {
  const auto at = this->rows_.find(lease);
  return at == this->rows_.end() ? 0 : at->second.row.revision;
}

}  // namespace linenpier::lease
