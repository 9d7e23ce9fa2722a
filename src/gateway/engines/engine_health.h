#pragma once

/** @file
 * Outlier detection: the failures in a row of one engine, and until when it is ejected because of
 * them. An ejected engine is chosen only by a request that accepts a last resort
 * (`engine_request::last_resort`). Pure; owned by the engine's `engine_state`.
 */

#include "common/time.h"

namespace linenpier::engines {

/** How an attempt at an engine ended, as far as the engine's health is concerned. */
enum class AttemptOutcome {
  /** The engine answered as asked, or the gateway itself stopped the attempt (its caller left, its
   * item moved): no failure. Resets the count of failures.
   */
  kSuccess,
  /** The engine rejected the request (full or loading weights), or the gateway withheld it before
   * it was sent: neither a failure nor a success.
   */
  kRejected,
  kUnreachable,  ///< No connection. A failure.
  /** A failure: the answer broke off, is unsigned or malformed, or the engine failed (status 500
   * and above). The only kind whose first one does not eject.
   */
  kBroken,
  kTimeout,      ///< Nothing came in time. A failure.
  kWrongEngine,  ///< Another engine has the address now. A failure; ejects for the longest time.
};

struct health_options {
  /** Doubles with each further failure in a row. */
  Duration first_ejection = std::chrono::milliseconds(700);
  Duration max_ejection = std::chrono::seconds(6);
  /** Failures within this time after a counted one are not counted: an engine that resets all its
   * requests at once, as when it changes weights, failed once.
   */
  Duration failure_burst = std::chrono::milliseconds(500);
};

class engine_health {
 public:
  /** A success resets the count of failures, but does not end an ejection. It ends at its time, or
   * sooner if the engine starts again under its id or its record is removed and comes back (all
   * that is known of the engine goes then), or if a further failure is counted, which sets the end
   * anew.
   */
  void onAttemptEnded(Instant now, AttemptOutcome outcome, const health_options& options);

  bool isEjected(Instant now) const { return now < this->ejected_until_; }
  /** @return failures in a row; those of one burst count once. */
  int failures() const { return this->failures_; }

 private:
  /** @return the time that the engine is ejected for after its last failure, `outcome`; may be
   * zero. */
  Duration ejectionAfter(AttemptOutcome outcome, const health_options& options) const;

  int failures_ = 0;
  Instant failed_at_{};  ///< When the last failure was counted.
  Instant ejected_until_{};
};

}  // namespace linenpier::engines
