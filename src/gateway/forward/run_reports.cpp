#include "gateway/forward/run_reports.h"

namespace linenpier::forward {

void run_reports::onRun(forwarded_request& forwarded, Instant at) {
  if (forwarded.recorded || forwarded.internal || forwarded.from.tenant.empty()) return;
  forwarded.recorded = true;
  this->recorder_.onRequestStarted(forwarded.from.tenant, at);
}

void run_reports::onAttemptEnded(forwarded_request& forwarded, const engine_call& call,
                                 AttemptOutcome verdict) {
  if (this->hasRun(call, verdict)) this->onRun(forwarded, call.startedAt());
}

bool run_reports::hasRun(const engine_call& call, AttemptOutcome verdict) const {
  switch (verdict) {
    case AttemptOutcome::kAnswered:
    case AttemptOutcome::kBroken:
      return true;
    case AttemptOutcome::kTimedOut:
    case AttemptOutcome::kAborted: {
      // An engine that answered other requests meanwhile was reachable, so it ran this one, too.
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
