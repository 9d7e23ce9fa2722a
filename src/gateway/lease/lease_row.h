#pragma once

/** @file
 * The row of a lease in the store, and the ids of leases. Pure.
 *
 * One life of a daemon, from start to end, has one lease. Its row tells the other daemons that it
 * is alive (each renewal raises the revision), what it can carry, where it is and where to ask it.
 */

#include <optional>
#include <set>
#include <string>

#include "common/address.h"
#include "common/ids.h"
#include "common/table_row.h"

namespace linenpier::lease {

/** A lease as its row states it. */
struct lease_row {
  Revision revision = 0;             ///< Rises with each renewal; 0: the row was never seen.
  double capacity = 0;               ///< See `capacity_estimator::value`; 0: not stated.
  std::optional<Address> peer = {};  ///< Where other daemons ask this one.
  ZoneName zone = {};                ///< Of the daemon; empty: not stated.
  std::set<EngineId> awaited = {};   ///< See `lease_table::awaited`.

  bool operator==(const lease_row&) const = default;
};

/** @return the value of a lease's row; the revision is the store's and not part of it. */
std::string encodeLeaseRow(const lease_row& row);
/** @return the lease. What the value does not state, or states unreadably, is left at its default:
 *     rows of earlier and later releases stay readable.
 */
lease_row decodeLeaseRow(Revision revision, const std::string& value);

/** @param incarnation unique to one life of the daemon. */
LeaseId makeLeaseId(const std::string& daemon, const std::string& incarnation);
/** @return the name of the daemon that the lease belongs to. */
std::string daemonOf(const LeaseId& lease);

}  // namespace linenpier::lease
