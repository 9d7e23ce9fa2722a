#pragma once

/** @file
 * Admits attempts of requests under which engines crashed (suspects), and reports how attempts
 * ended to those who keep count. Loop thread only.
 */

#include <optional>

#include "gateway/forward/engine_call.h"
#include "gateway/forward/forwarded_request.h"

namespace linenpier::forward {

class attempt_admission {
 public:
  explicit attempt_admission(suspects::suspect_tracker& suspects) : suspects_(suspects) {}

  /** Asks whether an attempt may be sent. Waits only if the request is a suspect.
   * @param exclusive whether no other attempt of the request runs: a suspect runs on one engine at
   * a time.
   * @return nothing if not; `forwarded.admission` has the reason. An attempt that is admitted must
   * be reported by `onEnded`, or by `onNotSent`.
   */
  Task<std::optional<suspects::sent_attempt>> admit(forwarded_request& forwarded, bool exclusive);

  /** An attempt was admitted, but not sent after all. */
  void onNotSent(const forwarded_request& forwarded, const suspects::sent_attempt& attempt);

  /** @param engine_crashed whether the engine's process crashed under the attempt. */
  void onEnded(forwarded_request& forwarded, const engine_call& call, AttemptOutcome outcome,
               const suspects::sent_attempt& attempt, bool engine_crashed);

 private:
  suspects::suspect_tracker& suspects_;
};

}  // namespace linenpier::forward
