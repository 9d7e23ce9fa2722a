#include "gateway/lease/lease_table.h"

#include <algorithm>
#include <set>
#include <sstream>

#include "common/hash.h"

namespace linenpier::lease {

namespace {
constexpr char kSeparator = '#';
/// In a row's value: "capacity@zone;engine,engine|peer". Earlier releases read capacity and peer.
constexpr char kPeerSeparator = '|';
constexpr char kZoneSeparator = '@';
constexpr char kAwaitedSeparator = ';';
constexpr char kEngineSeparator = ',';
constexpr Duration kOldAge = std::chrono::seconds(60);
constexpr Duration kAgeSpread = std::chrono::milliseconds(300);
constexpr Duration kJitterSpread = std::chrono::milliseconds(80);
constexpr std::int64_t kJitterSteps = 100;
}  // namespace

std::string encodeCapacity(double capacity) {
  return std::to_string(capacity);
}

double decodeCapacity(const std::string& value) {
  return std::max(0.0, std::strtod(value.c_str(), nullptr));
}

std::string encodeLease(double capacity, const std::optional<Address>& peer, const ZoneName& zone,
                        const std::set<EngineId>& awaited) {
  std::string value = encodeCapacity(capacity);
  if (!zone.empty()) value += kZoneSeparator + zone.str();
  char separator = kAwaitedSeparator;
  for (const EngineId& engine : awaited) {
    value += separator + engine.str();
    separator = kEngineSeparator;
  }
  if (peer) value += kPeerSeparator + toString(*peer);
  return value;
}

std::optional<Address> decodePeer(const std::string& value) {
  const std::size_t separator = value.find(kPeerSeparator);
  if (separator == std::string::npos) return std::nullopt;
  return parseAddress(value.substr(separator + 1));
}

std::set<EngineId> decodeAwaited(const std::string& value) {
  std::set<EngineId> awaited;
  const std::string told = value.substr(0, value.find(kPeerSeparator));
  const std::size_t begin = told.find(kAwaitedSeparator);
  if (begin == std::string::npos) return awaited;
  std::istringstream engines(told.substr(begin + 1));
  std::string engine;
  while (std::getline(engines, engine, kEngineSeparator)) {
    if (!engine.empty()) awaited.insert(EngineId(engine));
  }
  return awaited;
}

ZoneName decodeZone(const std::string& value) {
  const std::string told = value.substr(0, value.find(kPeerSeparator));
  const std::string head = told.substr(0, told.find(kAwaitedSeparator));
  const std::size_t separator = head.find(kZoneSeparator);
  return separator == std::string::npos ? ZoneName() : ZoneName(head.substr(separator + 1));
}

LeaseId makeLeaseId(const std::string& daemon, const std::string& incarnation) {
  return LeaseId(daemon + kSeparator + incarnation);
}

std::string daemonOf(const LeaseId& lease) {
  return lease.str().substr(0, lease.str().find(kSeparator));
}

Duration LeaseTable::takeoverDelay(Instant now, const std::string& what) const {
  const Duration age = std::min(now - started_at_, kOldAge);
  const auto step = static_cast<std::int64_t>(hash64(own_.str(), hash64(what)) % kJitterSteps);
  return kAgeSpread * age.count() / kOldAge.count() + kJitterSpread * step / kJitterSteps;
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

void LeaseTable::onRead(Instant sent_at, Instant now, const std::map<LeaseId, LeaseRow>& rows) {
  // An absent row is kept while somebody asks for it: its silence counts.
  for (const auto& [lease, row] : rows) {
    onRow(now, lease, row.revision);
    rows_[lease].capacity = row.capacity;
    rows_[lease].peer = row.peer;
    rows_[lease].awaited = row.awaited;
    rows_[lease].zone = row.zone;
  }
  std::erase_if(rows_, [&](const auto& each) {
    return each.second.revision > 0 && !rows.contains(each.first);
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
  const auto [at, fresh] = rows_.try_emplace(lease, Observation{0, read_at_, 0, std::nullopt, {}});
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
  if (at == rows_.end() || at->second.revision == 0) return false;
  // While the store is away nobody can renew: who lived when it was last read counts as alive.
  const Instant as_of = store_healthy_since_ ? now : read_at_;
  return as_of - at->second.changed_at < times_.expiry;
}

std::vector<OwnerCandidate> LeaseTable::candidates(Instant now) const {
  std::vector<OwnerCandidate> found;
  for (const auto& [lease, seen] : rows_) {
    const bool other = lease != own_ && !isEarlierSelf(lease);
    const bool offers = other && seen.capacity > 0 && alive(now, lease);
    if (offers) found.push_back({lease, seen.capacity, seen.zone});
  }
  return found;
}

ZoneName LeaseTable::zoneOf(const LeaseId& lease) const {
  const auto at = rows_.find(lease);
  return at == rows_.end() ? ZoneName() : at->second.zone;
}

std::vector<Address> LeaseTable::peers() const {
  std::set<Address> found;
  for (const auto& [lease, seen] : rows_) {
    if (lease != own_ && !isEarlierSelf(lease) && seen.peer) found.insert(*seen.peer);
  }
  return {found.begin(), found.end()};
}

std::set<EngineId> LeaseTable::awaited(Instant now) const {
  std::set<EngineId> found;
  for (const auto& [lease, seen] : rows_) {
    if (alive(now, lease)) found.insert(seen.awaited.begin(), seen.awaited.end());
  }
  return found;
}

std::vector<LeaseId> LeaseTable::forgotten(Instant now) const {
  std::vector<LeaseId> found;
  for (const auto& [lease, seen] : rows_) {
    if (lease == own_ || seen.revision == 0) continue;
    if (isEarlierSelf(lease) || now - seen.changed_at > times_.forget) found.push_back(lease);
  }
  return found;
}

Revision LeaseTable::seenRevision(const LeaseId& lease) const {
  const auto at = rows_.find(lease);
  return at == rows_.end() ? 0 : at->second.revision;
}

}  // namespace linenpier::lease
