#pragma once

/** @file
 * Admission of attempts for suspect requests, which are requests that may crash engines, and
 * reports of attempt outcomes to the suspect tracker. Event loop thread only.
 */

#include <optional>

#include "gateway/forward/engine_call.h"
#include "gateway/forward/forwarded_request.h"

namespace linenpier::forward {

class attempt_admission {
 public:
  explicit attempt_admission(suspects::suspect_tracker& suspects) : suspects_(suspects) {}

  /** Decides whether an attempt may be sent. The coroutine suspends only if the request is a
   * suspect.
   * @param exclusive true if no other attempt of the request is in flight. A suspect runs on one
   *     engine at a time.
   * @return nullopt if the attempt must not be sent; `forwarded.admission` holds the reason. For an
   *     admitted attempt the caller must call `onEnded` or `onNotSent`.
   */
  Task<std::optional<suspects::sent_attempt>> admit(forwarded_request& forwarded, bool exclusive);

  /** To be called for an admitted attempt that was not sent. */
  void onNotSent(const forwarded_request& forwarded, const suspects::sent_attempt& attempt);

  /** To be called when an admitted attempt has ended.
   * @param engine_crashed whether the engine process crashed during the attempt.
   */
  void onEnded(forwarded_request& forwarded, const engine_call& call, AttemptOutcome outcome,
               const suspects::sent_attempt& attempt, bool engine_crashed);

 private:
  suspects::suspect_tracker& suspects_;
};

}  // namespace linenpier::forward
