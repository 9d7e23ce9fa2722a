/** @file
 * Encoding and decoding of lease rows.
 */

#include "gateway/lease/lease_row.h"

#include <criterion/criterion.h>

using namespace linenpier;
using lease::decodeLeaseRow;
using lease::encodeLeaseRow;
using lease::lease_row;

Test(lease_row, awaited_engines_round_trip) {
  const std::optional<Address> peer = parseAddress("10.0.0.1:9000");
  const std::set<EngineId> awaited = {EngineId("e1"), EngineId("e2")};
  const std::string value = encodeLeaseRow({0, 0.25, peer, ZoneName("z-1"), awaited});
  const lease_row read = decodeLeaseRow(3, value);
  cr_assert(read.awaited == awaited);
  cr_assert(read.peer == peer);
  cr_assert_eq(read.zone.str(), "z-1");
  cr_assert_float_eq(read.capacity, 0.25, 1e-9);
  cr_assert(decodeLeaseRow(3, encodeLeaseRow({.capacity = 0.25, .peer = peer})).awaited.empty());
}

Test(lease_row, capacity_zone_and_peer_round_trip) {
  const Address peer{0x7f000001, 77};
  const lease_row read = decodeLeaseRow(3, encodeLeaseRow({0, 0.25, peer, ZoneName("z-1")}));
  cr_assert_eq(read.capacity, 0.25);
  cr_assert_eq(read.zone.str(), "z-1");
  cr_assert_eq(*read.peer, peer);
}

Test(lease_row, rows_without_zone_keep_the_earlier_format) {
  const Address peer{0x7f000001, 77};
  const std::string value = "0.250000|127.0.0.1:77";
  cr_assert_eq(encodeLeaseRow({.capacity = 0.25, .peer = peer}), value);
  cr_assert(decodeLeaseRow(3, value).zone.empty());
  cr_assert(decodeLeaseRow(3, "").zone.empty());
  cr_assert_eq(*decodeLeaseRow(3, value).peer, peer);
}

Test(lease_row, malformed_or_negative_capacity_is_zero) {
  cr_assert_float_eq(decodeLeaseRow(3, encodeLeaseRow({.capacity = 0.25})).capacity, 0.25, 1e-6);
  cr_assert_eq(decodeLeaseRow(3, "renewed").capacity, 0);
  cr_assert_eq(decodeLeaseRow(3, "-3").capacity, 0);
}
