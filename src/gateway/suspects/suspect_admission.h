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
  /** Number of crashes after which a caller's request is barred. Reward requests are never barred.
   */
  int crash_threshold = 3;
  /** Longest time from the sending of an attempt to a crash that counts. A request that crashes
   * engines crashes them when its execution starts.
   */
  Duration max_run_before_crash = std::chrono::seconds(3);
  /** Delay before a request that is not barred may run again after its second and each later crash.
   * Long enough for crashed engines to restart, so that one request takes down at most two of them.
   */
  Duration retry_backoff = std::chrono::seconds(5);
  /** Duration after which an isolated run no longer blocks other runs of the request. */
  Duration isolated_run_timeout = std::chrono::seconds(3);
  /** Time until a suspect is removed, counted from its last crash or, if the suspect is barred,
   * from the time at which it is no longer barred.
   */
  Duration retention = std::chrono::minutes(10);
  /** Time for which a suspect is barred, counted from the last crash; doubled for each crash beyond
   * `crash_threshold`.
   */
  Duration initial_bar = std::chrono::minutes(10);
  int max_bar_doublings = 6;
  /** Maximum number of suspects, of about 0.5 KB each. The suspects with the fewest crashes are
   * evicted first.
   */
  std::size_t max_entries = 4096;
};

enum class AdmissionState {
  kNotSuspect,
  kMayRunAlone,  ///< The request may run on one engine at a time.
  kRunning,      ///< A daemon is running the request isolated.
  kBackingOff,   ///< The request must wait after a recent crash but is not barred.
  kBarred,       ///< The request must not run, since its crashes reached the threshold.
};

/** @return the name of the admission state in log events. */
const char* toText(AdmissionState value);

struct suspect_admission {
  AdmissionState state = AdmissionState::kNotSuspect;
  int crashes = 0;
  Duration retry_after{};       ///< Time until the request may run; zero if it may run now.
  Duration since_last_crash{};  ///< Time since the last crash.
};

}  // namespace linenpier::suspects
