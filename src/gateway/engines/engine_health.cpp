#include "gateway/engines/engine_health.h"

#include <algorithm>

namespace linenpier::engines {

namespace {
/// Maximum number of times that the ejection time doubles.
constexpr int kMaxBackoffSteps = 4;
}  // namespace

void engine_health::onAttemptEnded(Instant now, HealthOutcome outcome,
                                   const health_options& options) {
  if (outcome == HealthOutcome::kRejected) return;
  if (outcome == HealthOutcome::kSuccess) {
    this->failures_ = 0;
    return;
  }
  const bool same_burst = this->failures_ > 0 && now - this->failed_at_ < options.failure_burst;
  if (same_burst && this->isEjected(now)) return;
  if (!same_burst) {
    this->failed_at_ = now;
    ++this->failures_;
  }
  const Duration ejection = this->ejectionAfter(outcome, options);
  if (ejection > Duration::zero()) this->ejected_until_ = now + ejection;
}

Duration engine_health::ejectionAfter(HealthOutcome outcome, const health_options& options) const {
  // A single broken response is common and no sign of an unhealthy engine.
  if (outcome == HealthOutcome::kBroken && this->failures_ < 2) return Duration::zero();
  if (outcome == HealthOutcome::kWrongEngine) return options.max_ejection;
  const int steps = std::min(this->failures_ - 1, kMaxBackoffSteps);
  return std::min(options.first_ejection * (1 << steps), options.max_ejection);
}

}  // namespace linenpier::engines
