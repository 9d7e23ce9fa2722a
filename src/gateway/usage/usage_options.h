#pragma once

/** @file
 * The times of usage reports. Values.
 */

#include "common/time.h"
#include "gateway/lease/leader_lock.h"

namespace linenpier::usage {

/** From a window's end its counts reach the store after at most a request's duration, the write
 * interval and a retry; `settle` is longer than these together.
 */
struct usage_options {
  Duration window{};  ///< Length of a window; zero: usage is not reported.
  /// Between two writes of a daemon's counts: bounds the store's load by the size of the fleet.
  Duration write_interval = std::chrono::seconds(1);
  Duration retry_backoff = std::chrono::milliseconds(200);  ///< After counts were not written.
  /// From a window's end until its rows are added up.
  Duration settle = std::chrono::seconds(4);
  /// A store that is back after an outage is given this time to get the rows that were held up: a
  /// write that was sent just before its return is given up and sent again …
  Duration settle_after_outage = std::chrono::milliseconds(2500);
  /// … but a window is added up at the latest so long after its end: reports are due.
  Duration max_settle = std::chrono::milliseconds(8500);
  Duration sample_interval =
      std::chrono::seconds(20);  ///< Between two samples of a daemon's clock.
  Duration sample_lifetime = std::chrono::seconds(60);  ///< Older samples do not count.
  /// How long a new leader waits for the daemons' first samples, where true time was never agreed.
  Duration first_samples_wait = std::chrono::seconds(4);
  /// True time is corrected if the samples differ from it by so much; clocks that are well differ
  /// by less.
  std::int64_t min_correction_ms = 20;
  lease::handover_options handover;
};

}  // namespace linenpier::usage
