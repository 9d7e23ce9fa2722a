#pragma once

/** @file
 * What everything that sends asks of a request, as it asks `EngineAdmission` of an engine: requests
 * of clients, streams, items, runs that go on elsewhere, reward calls.
 */

#include <string>

#include "common/task.h"
#include "gateway/suspects/suspect_book.h"

namespace linenpier::suspects {

/** An attempt as its sender knew the request when it sent it. */
struct sent_attempt {
  int crashes = 0;        ///< Of engines under the request, as known when it was sent.
  bool isolated = false;  ///< It runs alone, and what it comes to must be told.
};

/** Loop thread only. */
class suspect_gate {
 public:
  virtual ~suspect_gate() = default;

  /** @return whether any request is suspected. If not, no key need be worked out. */
  virtual bool any() const = 0;
  /** @return what is known of a request; kClear for nearly all. */
  virtual suspect_admission admissionOf(const request_key& key, RequestSource who) const = 0;
  /** Takes the right to run a suspect alone, of all daemons. Asks the store, unless it is away.
   * @param id of the request, for the log.
   * @return kMayTry if it was given: the end of the trial must be told then. kClear if it is no
   *     suspect any more.
   */
  virtual Task<suspect_admission> beginIsolatedRun(request_key key, RequestSource who,
                                                   std::string id) = 0;
  /** The same by what this daemon knows, for what no other daemon sends meanwhile. */
  virtual suspect_admission beginOwnIsolatedRun(const request_key& key, RequestSource who,
                                                const std::string& id) = 0;

  /** An engine ended under an attempt.
   * @param id of the request, for the log.
   */
  virtual void onEngineCrashed(const sent_attempt& attempt, const request_key& key,
                               const EngineId& engine, Instant sent_at, RequestSource who,
                               const std::string& id) = 0;
  /** An engine answered it whole, whatever the status: it is none that ends its engines. */
  virtual void onAnswered(const request_key& key) = 0;
  /** A trial ended and says nothing: it was refused, stopped, or not answered. */
  virtual void onInconclusive(const request_key& key) = 0;
};

}  // namespace linenpier::suspects
