#pragma once

/** @file
 * Admission of suspects, as every sender asks for it before it sends and reports to it afterwards:
 * requests of clients, streams, items, runs that go on elsewhere, reward calls.
 */

#include <string>

#include "common/task.h"
#include "gateway/suspects/suspect_registry.h"

namespace linenpier::suspects {

/** What the sender knew of the request when it sent the attempt. */
struct sent_attempt {
  int crashes = 0;        ///< Of engines under the request.
  bool isolated = false;  ///< It runs alone; its end must be reported.
};

/** Loop thread only. */
class suspect_tracker {
 public:
  virtual ~suspect_tracker() = default;

  /** @return whether there is any suspect. If not, no key need be computed. */
  virtual bool hasSuspects() const = 0;
  /** @return what a request is allowed by what this daemon knows; kNotSuspect for nearly all. */
  virtual suspect_admission admissionOf(const request_key& key, RequestSource source) const = 0;
  /** Claims the right to run a suspect alone, for this daemon of all. Writes to the store, unless
   * it is away.
   * @param id of the request, for the log.
   * @return kMayRunAlone if it was given: the end of the run must be reported then. kNotSuspect if
   *     it is no suspect any more.
   */
  virtual Task<suspect_admission> beginIsolatedRun(request_key key, RequestSource source,
                                                   std::string id) = 0;
  /** The same by what this daemon knows, for what no other daemon sends meanwhile: an item is sent
   * by its job's owner alone.
   */
  virtual suspect_admission beginLocalIsolatedRun(const request_key& key, RequestSource source,
                                                  const std::string& id) = 0;

  /** An engine's process crashed under an attempt.
   * @param id of the request, for the log.
   */
  virtual void onEngineCrashed(const sent_attempt& attempt, const request_key& key,
                               const EngineId& engine, Instant sent_at, RequestSource source,
                               const std::string& id) = 0;
  /** An engine answered it completely, whatever the status: it does not crash engines. */
  virtual void onAnswered(const request_key& key) = 0;
  /** An isolated run ended without showing anything: rejected, stopped, or not answered. */
  virtual void onInconclusive(const request_key& key) = 0;
};

}  // namespace linenpier::suspects
