#include "gateway/forward/attempt_policy.h"

#include <algorithm>

namespace linenpier::forward {

namespace {
/** Number of connection failures after which a request is not retried. */
constexpr int kMaxUnreachable = 4;
/** Minimum time before the deadline that is needed to start an attempt. */
constexpr Duration kMinAttemptTime = std::chrono::milliseconds(10);
}  // namespace

void attempt_policy::onStarted(Instant now) {
  ++this->started_;
  ++this->running_;
  this->last_start_ = now;
}

void attempt_policy::onEnded(AttemptOutcome outcome) {
  --this->running_;
  if (outcome == AttemptOutcome::kUnreachable) {
    --this->started_;
    ++this->unreachable_;
  }
  if (mayHaveRun(outcome)) this->may_have_run_ = true;
}

bool attempt_policy::hasAttemptsLeft() const {
  return this->started_ < this->max_attempts_ && this->unreachable_ < kMaxUnreachable;
}

bool attempt_policy::canStart(Instant now) const {
  if (!this->hasAttemptsLeft() || now + kMinAttemptTime >= this->deadline_) return false;
  if (this->running_ == 0) return !this->may_have_run_ || this->retryable_after_run_;
  return this->idempotent_ && now >= this->last_start_ + this->hedge_delay_;
}

Instant attempt_policy::nextCheck() const {
  if (!this->idempotent_ || !this->hasAttemptsLeft() || this->running_ == 0) return this->deadline_;
  return std::min(this->deadline_, this->last_start_ + this->hedge_delay_);
}

bool attempt_policy::retriesServerErrors(Instant now) const {
  return this->retryable_after_run_ &&
         (this->running_ > 0 ||
          (this->hasAttemptsLeft() && now + kMinAttemptTime < this->deadline_));
}

LocalReply attempt_policy::localReply(Instant now) const {
  if (!this->may_have_run_ && this->running_ == 0) return LocalReply::kNotRun;
  return now >= this->deadline_ ? LocalReply::kDeadlineExceeded : LocalReply::kMayHaveRun;
}

}  // namespace linenpier::forward
