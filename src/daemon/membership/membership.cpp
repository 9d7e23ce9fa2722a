#include "daemon/membership/membership.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "common/hash.h"

namespace linenpier::membership {

using wire::MemberRecord;
using wire::MemberStatus;
using wire::Outgoing;

namespace {

bool isLive(MemberStatus status) {
  return status == MemberStatus::kAlive || status == MemberStatus::kSuspect;
}

/// @return whether `news` overrides `known` by incarnation, then by severity.
bool overrides(const MemberRecord& news, const MemberRecord& known) {
  if (news.incarnation != known.incarnation) return news.incarnation > known.incarnation;
  return static_cast<int>(news.status) > static_cast<int>(known.status);
}

}  // namespace

Membership::Membership(MemberRecord self, MembershipOptions options, std::uint64_t seed)
    : self_(std::move(self)), options_(options), random_(seed) {
  self_.status = MemberStatus::kAlive;
}

void Membership::onMachineList(Instant now, const std::vector<MemberSeed>& seeds) {
  for (const MemberSeed& seed : seeds) {
    if (seed.id == self_.id || members_.contains(seed.id)) continue;
    Member member;
    member.record = {seed.id, seed.address, seed.zone, seed.region, 0, MemberStatus::kDead};
    member.status_since = now;
    members_.emplace(seed.id, member);
  }
}

std::vector<Outgoing> Membership::onTick(Instant now, const wire::Digest& facts) {
  std::vector<Outgoing> out;
  expireProbes(now, out);
  expireSuspicions(now);
  if (now < next_probe_) return out;
  next_probe_ = now + options_.probe_period;
  ++rounds_;
  probeDead(now, facts, out);
  if (const Member* target = nextTarget()) {
    out.push_back(makeProbe(now, *target, facts));
  }
  return out;
}

std::vector<Outgoing> Membership::onProbe(Instant now, const DaemonId& from,
                                          const wire::Probe& probe, const wire::Digest& facts) {
  hearFrom(now, from, probe.digest);
  const auto member = members_.find(from);
  if (member == members_.end()) return {};
  const bool differs = probe.digest.view_hash != 0 && probe.digest.view_hash != viewHash();
  wire::ProbeAck ack{probe.sequence, digestWithUpdates(facts, from, differs)};
  return {{member->second.record.address, std::move(ack)}};
}

std::vector<Outgoing> Membership::onProbeAck(Instant now, const DaemonId& from,
                                             const wire::ProbeAck& ack) {
  hearFrom(now, from, ack.digest);
  const auto pending = pending_.find(ack.sequence);
  if (pending == pending_.end()) return {};
  std::vector<Outgoing> out;
  if (pending->second.relay_to) {
    wire::ProbeAck relayed{pending->second.relay_sequence, {}};
    const auto member = members_.find(from);
    if (member != members_.end()) relayed.digest.members.push_back(member->second.record);
    out.push_back({*pending->second.relay_to, std::move(relayed)});
  } else if (pending->second.target != from) {
    // A relayed ack: the target answered somebody else on our behalf.
    const auto target = members_.find(pending->second.target);
    if (target != members_.end() && target->second.record.status == MemberStatus::kSuspect) {
      setStatus(now, target->second, MemberStatus::kAlive);
    }
  }
  pending_.erase(pending);
  return out;
}

std::vector<Outgoing> Membership::onIndirectProbe(Instant now, const DaemonId& from,
                                                  const wire::IndirectProbe& request,
                                                  const wire::Digest& facts) {
  const auto asker = members_.find(from);
  if (asker == members_.end()) return {};
  const std::uint64_t sequence = next_sequence_++;
  PendingProbe probe{request.target, now, true, asker->second.record.address, request.sequence};
  pending_.emplace(sequence, probe);
  return {
      {request.target_address, wire::Probe{sequence, digestWithUpdates(facts, request.target)}}};
}

std::vector<Outgoing> Membership::leave(const wire::Digest& facts) {
  self_.status = MemberStatus::kLeft;
  ++self_.incarnation;
  std::vector<Outgoing> out;
  for (const MemberRecord& member : alive()) {
    if (member.zone != self_.zone || member.id == self_.id) continue;
    const std::uint64_t sequence = next_sequence_++;
    out.push_back({member.address, wire::Probe{sequence, digestWithUpdates(facts, member.id)}});
  }
  return out;
}

std::vector<MembershipChange> Membership::takeChanges() {
  return std::exchange(changes_, {});
}

std::optional<Address> Membership::addressOf(const DaemonId& id) const {
  if (id == self_.id) return self_.address;
  const auto member = members_.find(id);
  if (member == members_.end()) return std::nullopt;
  return member->second.record.address;
}

std::vector<MemberRecord> Membership::alive() const {
  std::vector<MemberRecord> result;
  if (self_.status == MemberStatus::kAlive) result.push_back(self_);
  for (const auto& [id, member] : members_) {
    if (isLive(member.record.status)) result.push_back(member.record);
  }
  std::sort(result.begin(), result.end(),
            [](const MemberRecord& a, const MemberRecord& b) { return a.id < b.id; });
  return result;
}

std::vector<MemberRecord> Membership::everyone() const {
  std::vector<MemberRecord> result = {self_};
  for (const auto& [id, member] : members_) result.push_back(member.record);
  return result;
}

void Membership::merge(Instant now, const MemberRecord& record) {
  if (record.id == self_.id) {
    const bool rumour = record.status != MemberStatus::kAlive;
    if (rumour && self_.status == MemberStatus::kAlive) refute(record.incarnation);
    return;
  }
  const auto known = members_.find(record.id);
  if (known == members_.end()) {
    Member member;
    member.record = record;
    member.record.status = MemberStatus::kDead;
    auto& inserted = members_.emplace(record.id, member).first->second;
    setStatus(now, inserted, record.status);
    return;
  }
  if (!overrides(record, known->second.record)) return;
  const MemberStatus before = known->second.record.status;
  if (known->second.record.address != record.address) changes_.push_back({record, before});
  known->second.record = record;
  known->second.record.status = before;
  setStatus(now, known->second, record.status);
}

void Membership::setStatus(Instant now, Member& member, MemberStatus status) {
  const MemberStatus before = member.record.status;
  member.record.status = status;
  member.rides_left = retransmissions(status);
  if (before == status) return;
  member.status_since = now;
  changes_.push_back({member.record, before});
}

void Membership::hearFrom(Instant now, const DaemonId& from, const wire::Digest& digest) {
  for (const MemberRecord& record : digest.members) merge(now, record);
  // A message from a suspect proves that it lives, although only its own incarnation tells others.
  const auto member = members_.find(from);
  if (member != members_.end() && member->second.record.status == MemberStatus::kSuspect) {
    setStatus(now, member->second, MemberStatus::kAlive);
  }
}

void Membership::refute(std::uint64_t rumoured_incarnation) {
  if (self_.incarnation > rumoured_incarnation) return;
  self_.incarnation = rumoured_incarnation + 1;
}

int Membership::retransmissions(MemberStatus status) const {
  const auto doublings = static_cast<int>(std::bit_width(members_.size() + 1));
  const bool good = status == MemberStatus::kAlive;
  return doublings * (good ? options_.good_rides_per_doubling : options_.rides_per_doubling);
}

std::uint64_t Membership::viewHash() const {
  // A sum, so that the order does not matter; the own record counts as others see it.
  std::uint64_t hash = self_.status == MemberStatus::kAlive ? hash64(self_.id.str()) : 0;
  for (const auto& [id, member] : members_) {
    if (isLive(member.record.status)) hash += hash64(id.str());
  }
  return hash;
}

void Membership::addRepairs(wire::Digest& digest) {
  // Records go out in rounds, so that any difference is repaired after one round at the latest.
  auto member = members_.upper_bound(repair_cursor_);
  const std::size_t count =
      std::min(members_.size(), static_cast<std::size_t>(options_.repair_records));
  for (std::size_t i = 0; i < count; ++i) {
    if (member == members_.end()) member = members_.begin();
    // Incarnation 0 is only what the machine list named.
    if (member->second.record.incarnation > 0) digest.members.push_back(member->second.record);
    repair_cursor_ = member->first;
    ++member;
  }
}

wire::Digest Membership::digestWithUpdates(const wire::Digest& facts, const DaemonId& receiver,
                                           bool repair) {
  wire::Digest digest = facts;
  // The sender's own record always rides along: it is how a newcomer becomes known.
  digest.members.push_back(self_);
  digest.view_hash = viewHash();
  if (repair) addRepairs(digest);
  const auto about_receiver = members_.find(receiver);
  if (about_receiver != members_.end() &&
      about_receiver->second.record.status != MemberStatus::kAlive) {
    digest.members.push_back(about_receiver->second.record);
  }
  std::vector<Member*> fresh;
  for (auto& [id, member] : members_) {
    if (member.rides_left > 0 && id != receiver) fresh.push_back(&member);
  }
  // Bad news first: a fleet that lost many must not wait for news of those that live.
  std::sort(fresh.begin(), fresh.end(), [](const Member* a, const Member* b) {
    if (a->record.status != b->record.status) return a->record.status > b->record.status;
    return a->rides_left > b->rides_left;
  });
  for (Member* member : fresh) {
    if (static_cast<int>(digest.members.size()) > options_.max_updates) break;
    digest.members.push_back(member->record);
    --member->rides_left;
  }
  return digest;
}

Outgoing Membership::makeProbe(Instant now, const Member& target, const wire::Digest& facts) {
  const std::uint64_t sequence = next_sequence_++;
  pending_.emplace(sequence, PendingProbe{target.record.id, now, false, std::nullopt, 0});
  return {target.record.address, wire::Probe{sequence, digestWithUpdates(facts, target.record.id)}};
}

std::vector<Outgoing> Membership::sendIndirect(PendingProbe& probe, std::uint64_t sequence) {
  probe.indirect_sent = true;
  const auto target = members_.find(probe.target);
  if (target == members_.end()) return {};
  std::vector<MemberRecord> helpers = alive();
  std::erase_if(helpers, [&](const MemberRecord& member) {
    return member.id == self_.id || member.id == probe.target ||
           member.status != MemberStatus::kAlive;
  });
  std::shuffle(helpers.begin(), helpers.end(), random_.engine());
  std::vector<Outgoing> out;
  for (const MemberRecord& helper : helpers) {
    if (static_cast<int>(out.size()) >= options_.indirect_probes) break;
    out.push_back({helper.address,
                   wire::IndirectProbe{sequence, probe.target, target->second.record.address}});
  }
  return out;
}

void Membership::expireProbes(Instant now, std::vector<Outgoing>& out) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    PendingProbe& probe = it->second;
    if (!probe.indirect_sent && now - probe.sent >= options_.probe_timeout) {
      for (Outgoing& message : sendIndirect(probe, it->first)) out.push_back(std::move(message));
    }
    if (now - probe.sent < options_.probe_period) {
      ++it;
      continue;
    }
    const auto target = members_.find(probe.target);
    const bool own_probe = !probe.relay_to;
    if (own_probe && target != members_.end() &&
        target->second.record.status == MemberStatus::kAlive) {
      setStatus(now, target->second, MemberStatus::kSuspect);
    }
    it = pending_.erase(it);
  }
}

void Membership::expireSuspicions(Instant now) {
  for (auto it = members_.begin(); it != members_.end();) {
    Member& member = it->second;
    const Duration age = now - member.status_since;
    if (member.record.status == MemberStatus::kSuspect && age >= options_.suspicion_time) {
      setStatus(now, member, MemberStatus::kDead);
    }
    const bool gone = !isLive(member.record.status) && age >= options_.forget_time;
    it = gone ? members_.erase(it) : std::next(it);
  }
}

void Membership::probeDead(Instant now, const wire::Digest& facts, std::vector<Outgoing>& out) {
  std::vector<Member*> due;
  for (auto& [id, member] : members_) {
    const bool dead = member.record.status == MemberStatus::kDead;
    if (dead && now - member.last_probe >= options_.dead_probe_period) due.push_back(&member);
  }
  std::shuffle(due.begin(), due.end(), random_.engine());
  if (due.size() > 3) due.resize(3);
  for (Member* member : due) {
    member->last_probe = now;
    out.push_back(makeProbe(now, *member, facts));
  }
}

const Membership::Member* Membership::nextTarget() {
  const bool elsewhere = rounds_ % static_cast<std::uint64_t>(options_.cross_zone_every) == 0;
  if (const Member* target = nextTargetOf(elsewhere)) return target;
  // A daemon alone in its zone probes elsewhere every time, and the other way round.
  return nextTargetOf(!elsewhere);
}

const Membership::Member* Membership::nextTargetOf(bool elsewhere) {
  std::vector<DaemonId>& order = elsewhere ? other_order_ : zone_order_;
  if (order.empty()) {
    for (const auto& [id, member] : members_) {
      const bool in_zone = member.record.zone == self_.zone;
      if (isLive(member.record.status) && in_zone != elsewhere) order.push_back(id);
    }
    std::shuffle(order.begin(), order.end(), random_.engine());
  }
  while (!order.empty()) {
    const auto member = members_.find(order.back());
    order.pop_back();
    if (member != members_.end() && isLive(member->second.record.status)) return &member->second;
  }
  return nullptr;
}

}  // namespace linenpier::membership
