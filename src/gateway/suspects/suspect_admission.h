#pragma once

/** @file
 * Admission rules and results for suspects, which are requests that were running on an engine when
 * it crashed.
 */

#include <cstddef>

#include "common/time.h"

namespace linenpier::suspects {

/** Limits for suspects. Crashes during concurrent attempts count once. */
struct suspect_rules {
  /** Number of crashes after which a caller's request is barred. */
  int crash_threshold = 3;
  /** Number of crashes after which an item of a batch job is barred. Not lower than
   * `crash_threshold`, since the job cannot finish without the item.
   */
  int item_crash_threshold = 5;
  /** Longest time from the sending of an attempt to a crash that counts. A request that crashes
   * engines does so when its execution starts.
   */
  Duration max_run_before_crash = std::chrono::seconds(3);
  /** Delay before a caller's request may run again after its second crash. Long enough for crashed
   * engines to restart, so that one request takes down at most two of them.
   */
  Duration retry_backoff = std::chrono::seconds(5);
  /** Delay before an item may run again after its second and each later crash. Shorter than 5 s,
   * since an item that has had no engine for 5 s counts as lost.
   */
  Duration item_retry_interval = std::chrono::seconds(4);
  /** Duration after which an isolated run no longer blocks other runs of the request. */
  Duration isolated_run_timeout = std::chrono::seconds(3);
  /** Time after the last crash, or after the end of the bar, until a suspect is removed. */
  Duration retention = std::chrono::minutes(10);
  /** Duration of the bar, counted from the last crash; doubled for each crash beyond
   * `crash_threshold`.
   */
  Duration initial_bar = std::chrono::minutes(10);
  int max_bar_doublings = 6;
  /** Maximum number of suspects, of about 0.5 KB each. Those with the fewest crashes are evicted
   * first.
   */
  std::size_t max_entries = 4096;
};

enum class AdmissionState {
  kNotSuspect,
  kMayRunAlone,  ///< May run on one engine at a time.
  kRunning,      ///< An isolated run is in progress on some daemon.
  kBackingOff,   ///< Waiting after a recent crash; below the threshold.
  kBarred,       ///< Reached the threshold.
};

/** @return the state's name in log events. */
const char* toText(AdmissionState value);

struct suspect_admission {
  AdmissionState state = AdmissionState::kNotSuspect;
  int crashes = 0;
  Duration retry_after{};       ///< Time until the request may be admitted; zero if it may run.
  Duration since_last_crash{};  ///< Time since the last crash.
};

/** Origin of a request. The owner of a batch job retries an item until its result is stored; only
 * the caller retries a caller's request.
 */
enum class RequestSource { kCaller, kItem };

}  // namespace linenpier::suspects
