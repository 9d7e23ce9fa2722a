#pragma once

/** @file
 * Notifies the usage recorder when an engine starts to execute a tenant's request. Each request is
 * reported at most once, even if several engines execute it. Event loop thread only.
 */

#include "gateway/engines/engine_registry.h"
#include "gateway/forward/engine_call.h"
#include "gateway/forward/forwarded_request.h"
#include "gateway/usage/usage_recorder.h"

namespace linenpier::forward {

class run_reporter {
 public:
  run_reporter(const engines::engine_registry& registry, usage::usage_recorder& recorder)
      : registry_(registry), recorder_(recorder) {}

  /** Called when an engine starts to execute the request. Internal requests and requests without
   * a tenant are not reported.
   */
  void onRun(forwarded_request& forwarded, Instant at);

  /** Reports the request if the outcome implies that the engine executed it. */
  void onAttemptEnded(forwarded_request& forwarded, const engine_call& call,
                      AttemptOutcome outcome);

 private:
  bool hasRun(const engine_call& call, AttemptOutcome outcome) const;

  const engines::engine_registry& registry_;
  usage::usage_recorder& recorder_;
};

}  // namespace linenpier::forward
