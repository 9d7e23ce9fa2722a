#include "daemon/node/node_core.h"

#include <criterion/criterion.h>

using namespace linenpier;
using node::NodeCore;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};

wire::MemberRecord record(const std::string& id, std::uint16_t port, const std::string& zone) {
  return {DaemonId(id),
          {0x7f000001, port},
          ZoneName(zone),
          RegionName("r"),
          1,
          wire::MemberStatus::kAlive};
}

/// A daemon "self" of zone "a" that knows "mate" of its own zone and "other" of zone "b".
struct Fixture {
  NodeCore core;

  Fixture() : core(options()) {
    receive("mate",
            wire::ProbeAck{0, {0, {}, 0, {record("mate", 2, "a"), record("other", 3, "b")}}});
  }
  static node::NodeOptions options() {
    node::NodeOptions options;
    options.self = record("self", 1, "a");
    return options;
  }
  node::Effects receive(const std::string& from, wire::Message message) {
    return core.handle(kStart, node::DatagramArrived{{DaemonId(from), std::move(message)}});
  }
};

template <typename T>
std::vector<wire::Outgoing> sent(const node::Effects& effects) {
  std::vector<wire::Outgoing> result;
  for (const node::Effect& effect : effects) {
    const auto* send = std::get_if<node::SendDatagram>(&effect);
    if (send != nullptr && std::holds_alternative<T>(send->outgoing.message)) {
      result.push_back(send->outgoing);
    }
  }
  return result;
}

}  // namespace

Test(node_core, a_zone_digest_is_passed_on_once) {
  Fixture fixture;
  const auto first =
      sent<wire::ZoneDigest>(fixture.receive("other", wire::ZoneDigest{ZoneName("b"), false, {}}));
  cr_assert_eq(first.size(), 1U);
  cr_assert_eq(first[0].to.port, 2);
  const auto again = fixture.receive("mate", first[0].message);
  cr_assert(sent<wire::ZoneDigest>(again).empty());
  // Even from a sender that is not known yet.
  const auto unknown = fixture.receive("newcomer", first[0].message);
  cr_assert(sent<wire::ZoneDigest>(unknown).empty());
}

Test(node_core, a_pushed_change_after_a_gap_is_used_but_not_counted_as_complete) {
  Fixture fixture;
  const wire::ConfigItem item{"template/a", 5, R"({"name":"a","kind":"serving"})"};
  const auto effects = fixture.receive("mate", wire::ConfigItems{4, 5, {item}});
  cr_assert_eq(fixture.core.config().revision(), 0U);
  cr_assert_eq(fixture.core.config().snapshot()->templates.size(), 1U);
  const auto asked = sent<wire::ConfigRequest>(effects);
  cr_assert_eq(asked.size(), 1U);
  cr_assert_eq(std::get<wire::ConfigRequest>(asked[0].message).have, 0U);
}

Test(node_core, a_daemon_that_just_started_waits_for_the_table_and_then_trusts_its_peers) {
  Fixture fixture;
  cr_assert_not(fixture.core.ready());
  fixture.receive("mate", wire::ConfigItems{0, 7, {}});
  cr_assert_not(fixture.core.ready(), "the table may still answer");
  const Instant later = kStart + std::chrono::seconds(4);
  fixture.core.handle(later, node::ConfigRead{});
  fixture.core.handle(later,
                      node::DatagramArrived{{DaemonId("mate"), wire::ConfigItems{0, 8, {}}}});
  fixture.core.handle(later, node::Tick{});
  cr_assert(fixture.core.ready());
  cr_assert_eq(fixture.core.config().revision(), 8U);
}

Test(node_core, news_of_weights_reach_the_zone_and_one_member_of_each_other_zone_once) {
  Fixture fixture;
  const node::ModelHeadRead read{{ModelName("m"), 4}};
  cr_assert_eq(sent<wire::ProbeAck>(fixture.core.handle(kStart, read)).size(), 2U);
  cr_assert_eq(sent<wire::ProbeAck>(fixture.core.handle(kStart, read)).size(), 0U);
}
