#pragma once

/** @file
 * Outlier detection: counts consecutive failures of one engine and ejects it for a time. Only
 * requests with `engine_request::last_resort` use an ejected engine. Does no I/O.
 */

#include "common/time.h"

namespace linenpier::engines {

/** How an attempt at an engine ended, from the point of view of outlier detection. */
enum class HealthOutcome {
  /** The attempt succeeded, or the gateway cancelled it (the caller disconnected, the item moved).
   * Resets the failure count.
   */
  kSuccess,
  /** The engine (full or loading weights) rejected the attempt, or the gateway withheld it. Counts
   * neither as a failure nor as a success.
   */
  kRejected,
  kUnreachable,  ///< Failure: no connection.
  /** Failure: the response is truncated, malformed or lacks the engine's signature, or its status
   * is 500 or above. A single failure of this kind does not eject the engine.
   */
  kBroken,
  kTimeout,      ///< Failure: no response in time.
  kWrongEngine,  ///< Failure: another engine has the address. Ejects the engine for `max_ejection`.
};

struct health_options {
  /** Length of the ejection after one failure. Each further consecutive failure doubles it, up to
   * `max_ejection`.
   */
  Duration first_ejection = std::chrono::milliseconds(700);
  Duration max_ejection = std::chrono::seconds(6);
  /** Time after a counted failure in which further failures are not counted: an engine that resets
   * all its requests at once, as when it changes weights, has failed once. They still eject an
   * engine that the counted failure has not ejected, since it would be picked again at once.
   */
  Duration failure_burst = std::chrono::milliseconds(500);
};

class engine_health {
 public:
  /** Counts the outcome of an attempt. A success resets the failure count but does not end an
   * ejection; a further failure sets a new end. A restart of the engine, or the removal of its
   * record, discards this state.
   */
  void onAttemptEnded(Instant now, HealthOutcome outcome, const health_options& options);

  bool isEjected(Instant now) const { return now < this->ejected_until_; }
  /** @return the number of consecutive failures; a burst of failures counts once. */
  int failures() const { return this->failures_; }

 private:
  /** @return how long the engine is ejected after the failure `outcome`; may be zero. */
  Duration ejectionAfter(HealthOutcome outcome, const health_options& options) const;

  int failures_ = 0;
  Instant failed_at_{};  ///< Time of the last counted failure.
  Instant ejected_until_{};
};

}  // namespace linenpier::engines
