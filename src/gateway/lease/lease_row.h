#pragma once

/** @file
 * The row of a lease in the store, and the ids of leases.
 *
 * Each incarnation of a daemon has one lease. Its row shows other daemons that it is alive (each
 * renewal raises the revision), its capacity, its zone and its peer address.
 */

#include <optional>
#include <set>
#include <string>

#include "common/address.h"
#include "common/ids.h"
#include "common/table_row.h"

namespace linenpier::lease {

/** The decoded row of a lease. */
struct lease_row {
  Revision revision = 0;             ///< Increases with each renewal; 0: the row was never seen.
  double capacity = 0;               ///< Capacity of the daemon in processors; 0: unknown.
  std::optional<Address> peer = {};  ///< Address for requests from other daemons.
  ZoneName zone = {};                ///< Zone of the daemon; empty: unknown.
  std::set<EngineId> awaited = {};   ///< Engines running an item that a step waits for.

  bool operator==(const lease_row&) const = default;
};

/** @return the value of the row, without the revision, which the store assigns. */
std::string encodeLeaseRow(const lease_row& row);
/** @return the lease. Missing or malformed fields keep their defaults, so that rows of earlier and
 * later releases stay readable.
 */
lease_row decodeLeaseRow(Revision revision, const std::string& value);

/** @param incarnation an id that is unique to one run of the daemon. */
LeaseId makeLeaseId(const std::string& daemon, const std::string& incarnation);
/** @return the name of the daemon that the lease belongs to. */
std::string daemonOf(const LeaseId& lease);

}  // namespace linenpier::lease
