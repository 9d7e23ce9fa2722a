#include "gateway/forward/attempt_policy.h"

namespace linenpier::forward {

namespace {
constexpr int kMaxUnreachable = 4;
/// With less time left than this, an attempt has no chance.
constexpr Duration kMinAttempt = std::chrono::milliseconds(10);
}  // namespace

void AttemptPolicy::onStarted(Instant now) {
  ++started_;
  ++running_;
  last_start_ = now;
}

void AttemptPolicy::onEnded(AttemptVerdict verdict) {
  --running_;
  if (verdict == AttemptVerdict::kUnreachable) {
    --started_;
    ++unreachable_;
  }
  if (forward::mayHaveRun(verdict)) may_have_run_ = true;
}

bool AttemptPolicy::attemptsLeft() const {
  return started_ < max_attempts_ && unreachable_ < kMaxUnreachable;
}

bool AttemptPolicy::mayStart(Instant now) const {
  if (!attemptsLeft() || now + kMinAttempt >= deadline_) return false;
  if (running_ == 0) return !may_have_run_ || repeatable_;
  return idempotent_ && now >= last_start_ + hedge_delay_;
}

Instant AttemptPolicy::nextLook() const {
  if (!idempotent_ || !attemptsLeft() || running_ == 0) return deadline_;
  return std::min(deadline_, last_start_ + hedge_delay_);
}

bool AttemptPolicy::retriesFailures(Instant now) const {
  return repeatable_ && (running_ > 0 || (attemptsLeft() && now + kMinAttempt < deadline_));
}

FinalAnswer AttemptPolicy::finalAnswer(Instant now) const {
  if (!mayHaveRun()) return FinalAnswer::kRefused;
  return now >= deadline_ ? FinalAnswer::kOutOfTime : FinalAnswer::kUnknown;
}

}  // namespace linenpier::forward
