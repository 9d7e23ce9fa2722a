/** @file
 * Rows of leases, as they are written and read.
 */

#include "gateway/lease/lease_row.h"

#include <criterion/criterion.h>

using namespace linenpier;
using lease::decodeLeaseRow;
using lease::encodeLeaseRow;
using lease::lease_row;

Test(lease_table, a_row_tells_which_engines_its_owner_waits_for) {
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

Test(lease_rows, a_row_tells_capacity_zone_and_address) {
  const Address peer{0x7f000001, 77};
  const lease_row read = decodeLeaseRow(3, encodeLeaseRow({0, 0.25, peer, ZoneName("z-1")}));
  cr_assert_eq(read.capacity, 0.25);
  cr_assert_eq(read.zone.str(), "z-1");
  cr_assert_eq(*read.peer, peer);
}

Test(lease_rows, rows_of_daemons_that_tell_no_zone_are_read_as_before) {
  const Address peer{0x7f000001, 77};
  const std::string value = "0.250000|127.0.0.1:77";
  cr_assert_eq(encodeLeaseRow({.capacity = 0.25, .peer = peer}), value);
  cr_assert(decodeLeaseRow(3, value).zone.empty());
  cr_assert(decodeLeaseRow(3, "").zone.empty());
  cr_assert_eq(*decodeLeaseRow(3, value).peer, peer);
}

Test(owner_pool, what_is_told_of_a_capacity_is_understood) {
  cr_assert_float_eq(decodeLeaseRow(3, encodeLeaseRow({.capacity = 0.25})).capacity, 0.25, 1e-6);
  cr_assert_eq(decodeLeaseRow(3, "renewed").capacity, 0);
  cr_assert_eq(decodeLeaseRow(3, "-3").capacity, 0);
}
