#pragma once

/// @file
/// Who is alive: failure detection by probes, with suspicion and incarnation numbers.
///
/// Each period a daemon probes one member. Without an ack it asks others to probe on its behalf,
/// then suspects the member, and after the suspicion time calls it dead. A member that hears of its
/// own suspicion raises its incarnation, which overrides the rumour. The platform's machine list
/// only names candidates to probe; it never makes anybody alive or dead by itself.
/// Probes prefer the own zone, so that a cut zone still detects its own failures, and one probe in
/// `cross_zone_every` goes elsewhere.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "daemon/wire/messages.h"

namespace linenpier::membership {

struct MembershipOptions {
  Duration probe_period = std::chrono::seconds(1);
  Duration probe_timeout = std::chrono::milliseconds(400);  ///< Until others are asked to probe.
  Duration suspicion_time = std::chrono::seconds(3);        ///< From suspect to dead.
  /// Dead members are kept this long: whoever forgets one could take old gossip for a new member.
  Duration forget_time = std::chrono::minutes(30);
  Duration dead_probe_period = std::chrono::seconds(5);  ///< Retries towards dead members.
  int indirect_probes = 2;                               ///< Members asked to probe on our behalf.
  int cross_zone_every = 4;                              ///< Every n-th probe leaves the zone.
  int max_updates = 18;  ///< Membership changes on one message; more would not fit one packet.
  int rides_per_doubling = 3;  ///< Bad news rides along this often for each doubling of the fleet.
  int good_rides_per_doubling = 1;  ///< The same for members that live; repairs do the rest.
  int repair_records = 6;           ///< Records sent to a member whose view differs.
};

/// A member that the machine list names.
struct MemberSeed {
  DaemonId id;
  Address address;
  ZoneName zone;
  RegionName region;
};

/// A change that the rest of the daemon reacts to.
struct MembershipChange {
  wire::MemberRecord member;
  wire::MemberStatus before = wire::MemberStatus::kDead;
};

/// Pure state machine; one owner, one thread.
class Membership {
 public:
  Membership(wire::MemberRecord self, MembershipOptions options, std::uint64_t seed);

  /// Adds unknown machines as dead members, so that they are probed.
  void onMachineList(Instant now, const std::vector<MemberSeed>& seeds);
  /// Sends due probes and moves suspicions on. Call about ten times a probe period.
  std::vector<wire::Outgoing> onTick(Instant now, const wire::Digest& facts);
  std::vector<wire::Outgoing> onProbe(Instant now, const DaemonId& from, const wire::Probe& probe,
                                      const wire::Digest& facts);
  std::vector<wire::Outgoing> onProbeAck(Instant now, const DaemonId& from,
                                         const wire::ProbeAck& ack);
  std::vector<wire::Outgoing> onIndirectProbe(Instant now, const DaemonId& from,
                                              const wire::IndirectProbe& request,
                                              const wire::Digest& facts);
  /// Declares this daemon as leaving; tells a few members at once.
  std::vector<wire::Outgoing> leave(const wire::Digest& facts);

  /// @return the changes since the last call.
  std::vector<MembershipChange> takeChanges();

  std::optional<Address> addressOf(const DaemonId& id) const;
  /// @return live members (suspects included) with this daemon, ascending by id.
  std::vector<wire::MemberRecord> alive() const;
  std::vector<wire::MemberRecord> everyone() const;
  const wire::MemberRecord& self() const { return self_; }

 private:
  struct Member {
    wire::MemberRecord record;
    Instant status_since{};  ///< When `record.status` was last changed.
    Instant last_probe{};    ///< When it was last probed while dead.
    int rides_left = 0;      ///< Further messages that carry this record.
  };
  struct PendingProbe {
    DaemonId target;
    Instant sent{};
    bool indirect_sent = false;       ///< Others have been asked.
    std::optional<Address> relay_to;  ///< Who asked us to probe, if anybody.
    std::uint64_t relay_sequence = 0;
  };

  void merge(Instant now, const wire::MemberRecord& record);
  void setStatus(Instant now, Member& member, wire::MemberStatus status);
  void hearFrom(Instant now, const DaemonId& from, const wire::Digest& digest);
  int retransmissions(wire::MemberStatus status) const;
  std::uint64_t viewHash() const;
  void addRepairs(wire::Digest& digest);
  void refute(std::uint64_t rumoured_incarnation);
  /// @param repair whether the receiver's view is known to differ from ours.
  wire::Digest digestWithUpdates(const wire::Digest& facts, const DaemonId& receiver,
                                 bool repair = false);
  wire::Outgoing makeProbe(Instant now, const Member& target, const wire::Digest& facts);
  std::vector<wire::Outgoing> sendIndirect(PendingProbe& probe, std::uint64_t sequence);
  void expireProbes(Instant now, std::vector<wire::Outgoing>& out);
  void expireSuspicions(Instant now);
  void probeDead(Instant now, const wire::Digest& facts, std::vector<wire::Outgoing>& out);
  const Member* nextTarget();
  /// @param elsewhere whether the target is to be outside this daemon's zone.
  const Member* nextTargetOf(bool elsewhere);

  wire::MemberRecord self_;  ///< This daemon; status is kAlive or kLeft.
  MembershipOptions options_;
  Random random_;
  std::map<DaemonId, Member> members_;  ///< All others ever heard of and not yet forgotten.
  std::map<std::uint64_t, PendingProbe> pending_;  ///< By sequence; at most a few.
  std::vector<DaemonId> zone_order_;               ///< Shuffled round of targets in the zone.
  std::vector<DaemonId> other_order_;              ///< Shuffled round of targets elsewhere.
  std::uint64_t next_sequence_ = 1;
  std::uint64_t rounds_ = 0;  ///< Probe rounds so far.
  DaemonId repair_cursor_;    ///< The record last sent as a repair.
  Instant next_probe_{};
  std::vector<MembershipChange> changes_;
};

}  // namespace linenpier::membership
