#pragma once

/** @file
 * Admission of suspects, which are requests under which engines crashed: the rules, and what a
 * request that wants to run is answered. Values only.
 */

#include <cstddef>

#include "common/time.h"

namespace linenpier::suspects {

/** Crashes are counted one after the other: those under attempts that ran side by side count once.
 */
struct suspect_rules {
  /** Crashes after which a caller's request is barred. */
  int crash_threshold = 3;
  /** Crashes after which an item of a batch job is barred: not fewer than for a
   * caller's, since its job waits for it.
   */
  int item_crash_threshold = 5;
  /** A crash later than this after the attempt was sent does not count: a request that crashes
   * engines does so when they begin to run it.
   */
  Duration max_run_before_crash = std::chrono::seconds(3);
  /** From the second crash to the next run of a caller's request: until crashed engines are back,
   * so that one request does not keep more than two out of use.
   */
  Duration retry_backoff = std::chrono::seconds(5);
  /** From the second crash on, between two runs of an item: shorter than the 5 s without an engine
   * after which an item counts as lost.
   */
  Duration item_retry_interval = std::chrono::seconds(4);
  /** An isolated run that takes longer does not keep others from running the request. */
  Duration isolated_run_timeout = std::chrono::seconds(3);
  /** A suspect is forgotten this long after its last crash, or after its bar is over. */
  Duration retention = std::chrono::minutes(10);
  /** How long a request is barred, counted from its last crash; doubled with each crash beyond
   * `crash_threshold`.
   */
  Duration initial_bar = std::chrono::minutes(10);
  int max_bar_doublings = 6;
  /** Suspects that are remembered, of some 0.5 KB each. Those with the fewest crashes go first. */
  std::size_t max_entries = 4096;
};

enum class AdmissionState {
  kNotSuspect,
  kMayRunAlone,  ///< On one engine at a time.
  kRunning,      ///< It runs alone somewhere; it may run again when that run has ended.
  kBackingOff,   ///< It crashed engines lately, fewer than its threshold.
  kBarred,       ///< It crashed as many engines as its threshold.
};

/** @return the state as log lines name it. */
const char* toText(AdmissionState value);

struct suspect_admission {
  AdmissionState state = AdmissionState::kNotSuspect;
  int crashes = 0;
  Duration retry_after{};       ///< Until asking again may help; zero if it may run.
  Duration since_last_crash{};  ///< Since the last crash.
};

/** Who sends a request. A batch job's owner sends an item again until its result is stored; a
 * caller's request is sent again only by the caller.
 */
enum class RequestSource { kCaller, kItem };

}  // namespace linenpier::suspects
