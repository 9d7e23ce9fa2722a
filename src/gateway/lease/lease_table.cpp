#include "gateway/lease/lease_table.h"

#include <algorithm>
#include <set>

#include "common/hash.h"

namespace linenpier::lease {

namespace {
constexpr Duration kOldAge = std::chrono::seconds(60);
constexpr Duration kAgeSpread = std::chrono::milliseconds(300);
constexpr Duration kJitterSpread = std::chrono::milliseconds(80);
constexpr std::int64_t kJitterSteps = 100;
}  // namespace

Duration LeaseTable::takeoverDelay(Instant now, const std::string& what) const {
  const Duration age = std::min(now - started_at_, kOldAge);
  const auto step = static_cast<std::int64_t>(hash64(own_.str(), hash64(what)) % kJitterSteps);
  return kAgeSpread * age.count() / kOldAge.count() + kJitterSpread * step / kJitterSteps;
}

void LeaseTable::onRow(Instant now, const LeaseId& lease, Revision revision) {
  Observation& seen = rows_[lease];
  if (revision <= seen.row.revision) return;
  seen.row.revision = revision;
  seen.changed_at = now;
}

bool LeaseTable::isEarlierSelf(const LeaseId& lease) const {
  return lease != own_ && daemonOf(lease) == daemonOf(own_);
}

void LeaseTable::onRead(Instant sent_at, Instant now, const std::map<LeaseId, LeaseRow>& rows) {
  // An absent row is kept while somebody asks for it: its silence counts.
  for (const auto& [lease, row] : rows) {
    onRow(now, lease, row.revision);
    Observation& seen = rows_[lease];
    const Revision newest = seen.row.revision;
    seen.row = row;
    seen.row.revision = newest;
  }
  std::erase_if(rows_, [&](const auto& each) {
    return each.second.row.revision > 0 && !rows.contains(each.first);
  });
  read_at_ = std::max(read_at_, sent_at);
  const Duration excess = std::max(now - sent_at - times_.usual_delay, Duration::zero());
  const Duration wanted = std::min(excess * times_.delays_allowed, times_.max_allowance);
  // One quick answer among slow ones does not make the store quick.
  allowance_ = std::max(wanted, allowance_ / 2);
}

bool LeaseTable::expired(const LeaseId& lease) {
  if (lease == own_) return false;
  if (lease.empty() || isEarlierSelf(lease)) return true;
  if (!store_healthy_since_) return false;
  const auto [at, fresh] = rows_.try_emplace(lease, Observation{{}, read_at_});
  const Instant since = std::max(at->second.changed_at, *store_healthy_since_);
  return read_at_ - since > times_.expiry + allowance_;
}

bool LeaseTable::anySuspect(Instant now) const {
  return std::any_of(rows_.begin(), rows_.end(), [&](const auto& each) {
    const Duration silence = now - each.second.changed_at;
    return each.first != own_ && silence > times_.suspicion && silence < 2 * times_.expiry;
  });
}

bool LeaseTable::alive(Instant now, const LeaseId& lease) const {
  if (lease == own_) return true;
  const auto at = rows_.find(lease);
  if (at == rows_.end() || at->second.row.revision == 0) return false;
  // While the store is away nobody can renew: who lived when it was last read counts as alive.
  const Instant as_of = store_healthy_since_ ? now : read_at_;
  return as_of - at->second.changed_at < times_.expiry;
}

std::vector<OwnerCandidate> LeaseTable::candidates(Instant now) const {
  std::vector<OwnerCandidate> found;
  for (const auto& [lease, seen] : rows_) {
    const bool other = lease != own_ && !isEarlierSelf(lease);
    const bool offers = other && seen.row.capacity > 0 && alive(now, lease);
    if (offers) found.push_back({lease, seen.row.capacity, seen.row.zone});
  }
  return found;
}

ZoneName LeaseTable::zoneOf(const LeaseId& lease) const {
  const auto at = rows_.find(lease);
  return at == rows_.end() ? ZoneName() : at->second.row.zone;
}

std::vector<Address> LeaseTable::peers() const {
  std::set<Address> found;
  for (const auto& [lease, seen] : rows_) {
    if (lease != own_ && !isEarlierSelf(lease) && seen.row.peer) found.insert(*seen.row.peer);
  }
  return {found.begin(), found.end()};
}

std::set<EngineId> LeaseTable::awaited(Instant now) const {
  std::set<EngineId> found;
  for (const auto& [lease, seen] : rows_) {
    if (alive(now, lease)) found.insert(seen.row.awaited.begin(), seen.row.awaited.end());
  }
  return found;
}

std::vector<LeaseId> LeaseTable::forgotten(Instant now) const {
  std::vector<LeaseId> found;
  for (const auto& [lease, seen] : rows_) {
    if (lease == own_ || seen.row.revision == 0) continue;
    if (isEarlierSelf(lease) || now - seen.changed_at > times_.forget) found.push_back(lease);
  }
  return found;
}

Revision LeaseTable::seenRevision(const LeaseId& lease) const {
  const auto at = rows_.find(lease);
  return at == rows_.end() ? 0 : at->second.row.revision;
}

}  // namespace linenpier::lease
