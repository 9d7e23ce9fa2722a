#pragma once

/** @file
 * Interface for admission of suspects. All senders (unary requests, streams, batch items, reward
 * requests) ask for admission before each attempt and report its outcome.
 */

#include <string>

#include "common/task.h"
#include "gateway/suspects/suspect_registry.h"

namespace linenpier::suspects {

/** State of the request when the attempt was sent. */
struct sent_attempt {
  int crashes = 0;        ///< Engine crashes known for the request.
  bool isolated = false;  ///< This is an isolated run; its end must be reported.
};

/** Event loop thread only. */
class suspect_tracker {
 public:
  virtual ~suspect_tracker() = default;

  /** @return whether there are any suspects. If not, callers can skip computing the request key. */
  virtual bool hasSuspects() const = 0;
  /** @return the admission by the suspects that this daemon knows; mostly kNotSuspect. */
  virtual suspect_admission admissionOf(const request_key& key, RequestSource source) const = 0;
  /** Claims the fleet-wide right to run a suspect. Writes the claim to the store if it is
   * reachable.
   * @param id request id for the log.
   * @return kMayRunAlone if the claim was granted; the end of the run must then be reported.
   *     kNotSuspect if the request is no longer a suspect.
   */
  virtual Task<suspect_admission> beginIsolatedRun(request_key key, RequestSource source,
                                                   std::string id) = 0;
  /** Like `beginIsolatedRun`, but does not write a claim to the store. For requests that no other
   * daemon sends: only the owner of a job sends its items.
   */
  virtual suspect_admission beginLocalIsolatedRun(const request_key& key, RequestSource source,
                                                  const std::string& id) = 0;

  /** The engine process crashed during an attempt.
   * @param id request id for the log.
   */
  virtual void onEngineCrashed(const sent_attempt& attempt, const request_key& key,
                               const EngineId& engine, Instant sent_at, RequestSource source,
                               const std::string& id) = 0;
  /** An engine completed the request, with any status: it does not crash engines. */
  virtual void onAnswered(const request_key& key) = 0;
  /** An isolated run ended without a result: rejected, aborted or timed out. */
  virtual void onInconclusive(const request_key& key) = 0;
};

}  // namespace linenpier::suspects
