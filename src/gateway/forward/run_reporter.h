#pragma once

/** @file
 * Reports to the usage recorder that an engine began to run a tenant's request: once a request,
 * however many engines ran it. Loop thread only.
 */

#include "gateway/engines/engine_registry.h"
#include "gateway/forward/engine_call.h"
#include "gateway/forward/forwarded_request.h"
#include "gateway/usage/run_recorder.h"

namespace linenpier::forward {

class run_reporter {
 public:
  run_reporter(const engines::engine_registry& registry, usage::run_recorder& recorder)
      : registry_(registry), recorder_(recorder) {}

  /** An engine began to run the request. Internal requests and those without a tenant are not
   * reported.
   */
  void onRun(forwarded_request& forwarded, Instant at);

  /** Reports a run if this end of an attempt shows one. */
  void onAttemptEnded(forwarded_request& forwarded, const engine_call& call,
                      AttemptOutcome outcome);

 private:
  bool hasRun(const engine_call& call, AttemptOutcome outcome) const;

  const engines::engine_registry& registry_;
  usage::run_recorder& recorder_;
};

}  // namespace linenpier::forward
