#pragma once

/** @file
 * Options of usage reports.
 */

#include "common/time.h"
#include "gateway/lease/leader_lock.h"

namespace linenpier::usage {

/** Timing of usage reports. The last counts of a window are stored after its end, delayed by at
 * most the duration of a request, a write interval and a retry; `settle` must exceed their sum.
 */
struct usage_options {
  Duration window{};  ///< Length of a window; zero disables usage reports.
  /// Time between two writes of a daemon's counts; limits the load on the store.
  Duration write_interval = std::chrono::seconds(1);
  /// Wait after a failed write of counts.
  Duration retry_backoff = std::chrono::milliseconds(200);
  /// Minimum time from a window's end until its rows are summed.
  Duration settle = std::chrono::seconds(4);
  /// Minimum time from the end of a store outage until a window is summed, so that daemons can time
  /// out and retry writes sent during the outage.
  Duration settle_after_outage = std::chrono::milliseconds(2500);
  /// Maximum time from a window's end until it is summed after an outage.
  Duration max_settle = std::chrono::milliseconds(8500);
  /// Time between two samples of a daemon's clock.
  Duration sample_interval = std::chrono::seconds(20);
  Duration sample_lifetime = std::chrono::seconds(60);  ///< Older samples are ignored.
  /// How long a new leader waits for the daemons' first samples if cluster time was never set.
  Duration first_samples_wait = std::chrono::seconds(4);
  /// Cluster time is corrected if the median of the samples differs from it by this much;
  /// synchronized clocks differ by less.
  std::int64_t min_correction_ms = 20;
  lease::handover_options handover;
};

}  // namespace linenpier::usage
