#pragma once

/** @file
 * Interface for admission of suspects. All senders of callers' requests, streams and reward
 * requests ask for admission before each attempt and report its outcome.
 */

#include <string>

#include "common/task.h"
#include "gateway/suspects/suspect_registry.h"

namespace linenpier::suspects {

/** State of a request when one of its attempts was sent. */
struct sent_attempt {
  int crashes = 0;        ///< Engine crashes known for the request.
  bool isolated = false;  ///< Whether the attempt is an isolated run, whose end must be reported.
};

/** Interface for admission of suspects; to be used on the event loop thread only. */
class suspect_tracker {
 public:
  virtual ~suspect_tracker() = default;

  /** @return whether there are any suspects. If not, callers can skip computing the request key. */
  virtual bool hasSuspects() const = 0;
  /** @return the admission of a request according to the suspects that this daemon knows. */
  virtual suspect_admission admissionOf(const request_key& key) const = 0;
  /** Claims the fleet-wide right to run a suspect. Writes the claim to the store if it is
   * reachable.
   * @param id request id for the log.
   * @return kMayRunAlone if the claim was granted; the end of the run must then be reported.
   *     kNotSuspect if the request is no longer a suspect.
   */
  virtual Task<suspect_admission> beginIsolatedRun(request_key key, std::string id) = 0;

  /** Records that the engine process crashed during an attempt.
   * @param id request id for the log.
   */
  virtual void onEngineCrashed(const sent_attempt& attempt, const request_key& key,
                               const EngineId& engine, Instant sent_at, const std::string& id) = 0;
  /** Clears a suspect whose request an engine completed, with any response status. */
  virtual void onAnswered(const request_key& key) = 0;
  /** Ends an isolated run without a result: one that was rejected, aborted or timed out. */
  virtual void onInconclusive(const request_key& key) = 0;
};

}  // namespace linenpier::suspects
