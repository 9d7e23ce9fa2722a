#pragma once

/** @file
 * Time limits of leases.
 */

#include "common/time.h"

namespace linenpier::lease {

/** How often leases are renewed and when they expire.
 *
 * Invariant: two renewals fit into the validity, and the validity is shorter than the expiry, so
 * that an owner stops acting before others start. docs/DECISIONS.md derives the time to a takeover.
 */
struct lease_times {
  Duration renewal_interval = std::chrono::milliseconds(400);
  /// Time after sending its last committed confirmation during which a leader may act.
  Duration validity = std::chrono::milliseconds(1000);
  /// Time without a renewal after which others may take over.
  Duration expiry = std::chrono::milliseconds(1500);
  /// A slow store also delays renewals. The expiry is therefore extended by this multiple of the
  /// time by which the observer's own reads exceed `tolerated_delay`.
  int allowance_factor = 6;
  /// Delay of a read up to which the expiry is not extended.
  Duration tolerated_delay = std::chrono::milliseconds(20);
  /// Limit of the extension, so that a failed owner is replaced however slow the store is.
  Duration max_allowance = std::chrono::seconds(3);
  /// Time without a renewal after which leases are read more often.
  Duration suspicion = std::chrono::milliseconds(700);
  /// Time without a renewal after which a row is removed from the store.
  Duration removal_age = std::chrono::seconds(60);

  bool operator==(const lease_times&) const = default;
};

}  // namespace linenpier::lease
