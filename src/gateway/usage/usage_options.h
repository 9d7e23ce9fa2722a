#pragma once

/** @file
 * Options of usage reports.
 */

#include "common/time.h"
#include "gateway/lease/leader_lock.h"

namespace linenpier::usage {

/** A window's counts are stored at most one request duration, write interval and retry after its
 * end; `settle` must exceed their sum.
 */
struct usage_options {
  Duration window{};  ///< Length of a window; zero disables usage reports.
  /// Between two writes of a daemon's counts; limits the load on the store.
  Duration write_interval = std::chrono::seconds(1);
  Duration retry_backoff = std::chrono::milliseconds(200);  ///< After a failed write of counts.
  /// From a window's end until its rows are summed.
  Duration settle = std::chrono::seconds(4);
  /// After a store outage a window is summed only this much later, so that daemons can time out and
  /// retry writes sent during the outage …
  Duration settle_after_outage = std::chrono::milliseconds(2500);
  /// … but at the latest this long after the window's end.
  Duration max_settle = std::chrono::milliseconds(8500);
  /// Between two samples of a daemon's clock.
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
