#include "gateway/forward/run_reporter.h"

namespace linenpier::forward {

void run_reporter::onRun(forwarded_request& forwarded, Instant at) {
  if (forwarded.run_reported || forwarded.internal || forwarded.caller.tenant.empty()) return;
  forwarded.run_reported = true;
  this->recorder_.onRequestStarted(forwarded.caller.tenant, at);
}

void run_reporter::onAttemptEnded(forwarded_request& forwarded, const engine_call& call,
                                  AttemptOutcome outcome) {
  if (this->hasRun(call, outcome)) this->onRun(forwarded, call.startedAt());
}

bool run_reporter::hasRun(const engine_call& call, AttemptOutcome outcome) const {
  switch (outcome) {
    case AttemptOutcome::kAnswered:
    case AttemptOutcome::kBroken:
      return true;
    case AttemptOutcome::kTimedOut:
    case AttemptOutcome::kAborted: {
      // An engine that reported load after the attempt started was reachable, so the engine also
      // received the request.
      const engines::engine_state* engine = this->registry_.find(call.engine());
      return engine != nullptr && engine->load.reportedAt() > call.startedAt();
    }
    case AttemptOutcome::kNotExecuted:
    case AttemptOutcome::kUnreachable:
      return false;
  }
  return false;
}

}  // namespace linenpier::forward
