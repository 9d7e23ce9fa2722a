#pragma once

/** @file
 * The times of a lease. Values.
 */

#include "common/time.h"

namespace linenpier::lease {

/** How often leases are renewed and how silence is judged.
 *
 * Invariant: two renewals fit into the validity, and the validity is shorter than the expiry, so
 * that an owner stops before others start. docs/DECISIONS.md adds the times up until a takeover.
 */
struct lease_times {
  Duration renewal_interval = std::chrono::milliseconds(400);
  /// A leader acts only this long after it sent its last confirmation that the store took.
  Duration validity = std::chrono::milliseconds(1000);
  /// Silence after which others may take over.
  Duration expiry = std::chrono::milliseconds(1500);
  /// A store that answers late takes renewals late, too. So the silence that is allowed grows by
  /// this many times the delay of the observer's own reads …
  int allowance_factor = 6;
  /// … beyond the delay that any read may have …
  Duration tolerated_delay = std::chrono::milliseconds(20);
  /// … up to this much: an owner that is lost must be replaced, however slow the store.
  Duration max_allowance = std::chrono::seconds(3);
  /// Silence after which leases are read more often: a renewal was missed.
  Duration suspicion = std::chrono::milliseconds(700);
  /// Silence after which a row is removed from the store: nobody takes over from it any more.
  Duration removal_age = std::chrono::seconds(60);

  bool operator==(const lease_times&) const = default;
};

}  // namespace linenpier::lease
