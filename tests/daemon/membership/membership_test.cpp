#include "daemon/membership/membership.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>

using namespace linenpier;
using membership::Membership;
using wire::MemberStatus;

namespace {

/// Members in two zones with a network of their own, in virtual time.
class Network {
 public:
  explicit Network(int members) {
    std::vector<membership::MemberSeed> seeds;
    for (int i = 0; i < members; ++i) {
      const Address address{0x7f000001, static_cast<std::uint16_t>(1000 + i)};
      const ZoneName zone(i % 2 == 0 ? "even" : "odd");
      const DaemonId id("d" + std::to_string(100 + i));
      seeds.push_back({id, address, zone, RegionName("r")});
      nodes_.push_back(std::make_unique<Membership>(
          wire::MemberRecord{id, address, zone, RegionName("r"), 1, MemberStatus::kAlive},
          membership::MembershipOptions{}, static_cast<std::uint64_t>(i)));
      up_.push_back(true);
    }
    for (auto& node : nodes_) node->onMachineList(now_, seeds);
  }

  void run(int seconds) {
    for (int tick = 0; tick < seconds * 10; ++tick) {
      now_ += std::chrono::milliseconds(100);
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (up_[i]) deliver(i, nodes_[i]->onTick(now_, {}));
      }
    }
  }
  void setUp(std::size_t node, bool up) { up_[node] = up; }
  void cutZones(bool cut) { cut_ = cut; }
  Membership& node(std::size_t i) { return *nodes_[i]; }
  std::size_t liveSeenBy(std::size_t i) { return nodes_[i]->alive().size(); }
  bool seesAlive(std::size_t i, const DaemonId& id) {
    const auto alive = nodes_[i]->alive();
    return std::any_of(alive.begin(), alive.end(),
                       [&id](const wire::MemberRecord& member) { return member.id == id; });
  }

 private:
  void deliver(std::size_t from, const std::vector<wire::Outgoing>& messages) {
    for (const wire::Outgoing& message : messages) {
      const std::size_t to = message.to.port - 1000U;
      const bool zones_differ = from % 2 != to % 2;
      if (to >= nodes_.size() || !up_[to] || (cut_ && zones_differ)) continue;
      const DaemonId& sender = nodes_[from]->self().id;
      if (const auto* probe = std::get_if<wire::Probe>(&message.message)) {
        deliver(to, nodes_[to]->onProbe(now_, sender, *probe, {}));
      } else if (const auto* ack = std::get_if<wire::ProbeAck>(&message.message)) {
        deliver(to, nodes_[to]->onProbeAck(now_, sender, *ack));
      } else if (const auto* indirect = std::get_if<wire::IndirectProbe>(&message.message)) {
        deliver(to, nodes_[to]->onIndirectProbe(now_, sender, *indirect, {}));
      }
    }
  }

  Instant now_{std::chrono::seconds(1)};
  std::vector<std::unique_ptr<Membership>> nodes_;
  std::vector<bool> up_;
  bool cut_ = false;
};

}  // namespace

Test(membership, members_of_the_machine_list_find_each_other) {
  Network network(20);
  cr_assert_eq(network.liveSeenBy(0), 1U, "the machine list alone makes nobody alive");
  network.run(40);
  for (std::size_t i = 0; i < 20; ++i) cr_assert_eq(network.liveSeenBy(i), 20U);
}

Test(membership, a_fifth_lost_at_once_is_noticed_by_all_and_nobody_else_is_blamed) {
  Network network(20);
  network.run(40);
  for (std::size_t i = 0; i < 4; ++i) network.setUp(i * 5, false);
  network.run(40);
  for (std::size_t i = 0; i < 20; ++i) {
    if (i % 5 == 0 && i < 20) continue;
    cr_assert_eq(network.liveSeenBy(i), 16U, "node %zu sees %zu", i, network.liveSeenBy(i));
  }
}

Test(membership, a_paused_member_that_wakes_refutes_its_death) {
  Network network(10);
  network.run(30);
  network.setUp(3, false);
  network.run(20);
  cr_assert_not(network.seesAlive(0, DaemonId("d103")));
  network.setUp(3, true);
  network.run(30);
  for (std::size_t i = 0; i < 10; ++i) cr_assert_eq(network.liveSeenBy(i), 10U);
  cr_assert_gt(network.node(3).self().incarnation, 1U);
}

Test(membership, a_cut_zone_keeps_its_own_and_heals) {
  Network network(12);
  network.run(30);
  network.cutZones(true);
  network.run(30);
  for (std::size_t i = 0; i < 12; ++i) cr_assert_eq(network.liveSeenBy(i), 6U);
  network.cutZones(false);
  network.run(60);
  for (std::size_t i = 0; i < 12; ++i) cr_assert_eq(network.liveSeenBy(i), 12U);
}

Test(membership, a_daemon_alone_in_its_zone_still_probes_every_round) {
  Network network(2);
  network.run(10);
  cr_assert_eq(network.liveSeenBy(0), 2U);
  network.setUp(1, false);
  network.run(8);
  cr_assert_eq(network.liveSeenBy(0), 1U, "noticed within probe, timeout and suspicion time");
}

Test(membership, a_member_that_leaves_is_gone_at_once) {
  Network network(6);
  network.run(30);
  for (const auto& message : network.node(2).leave({})) {
    if (message.to.port != 1000) continue;
    const auto& probe = std::get<wire::Probe>(message.message);
    network.node(0).onProbe(Instant{}, DaemonId("d102"), probe, {});
  }
  cr_assert_not(network.seesAlive(0, DaemonId("d102")));
}

Test(membership, a_member_that_missed_every_rumour_is_repaired_within_a_round) {
  Network network(20);
  network.run(40);
  network.setUp(0, false);
  network.setUp(7, false);
  network.setUp(12, false);
  network.run(30);
  // Member 0 wakes long after the rumour of the two deaths has rested.
  network.setUp(0, true);
  network.run(15);
  cr_assert_eq(network.liveSeenBy(0), 18U);
}

Test(membership, old_gossip_does_not_bring_a_dead_member_back) {
  Network network(8);
  network.run(30);
  network.setUp(3, false);
  // Member 5 sleeps through the death and wakes long after; it still spreads what it knew.
  network.setUp(5, false);
  network.run(120);
  network.setUp(5, true);
  network.run(20);
  for (std::size_t i = 0; i < 8; ++i) {
    if (i != 3) cr_assert_eq(network.liveSeenBy(i), 7U, "node %zu", i);
  }
}
