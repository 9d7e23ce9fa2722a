#include "gateway/lease/store_clock.h"

namespace linenpier::lease {

namespace {

/// Seconds in which the steady clocks of two machines drift apart by at most one millisecond.
constexpr std::int64_t kSecondsPerMsOfDrift = 10;
/// Longest network delay of a response. A clock that lags by more has restarted.
constexpr std::int64_t kMaxLagMs = 5000;

}  // namespace

std::int64_t store_clock::at(Instant at) const {
  if (this->clock_ms_ == 0) return 0;
  return this->clock_ms_ +
         std::chrono::duration_cast<std::chrono::milliseconds>(at - this->read_at_).count();
}

void store_clock::onAnswer(Instant now, std::int64_t clock_ms) {
  const std::int64_t lag_ms = this->at(now) - clock_ms;
  const auto since = std::chrono::duration_cast<std::chrono::seconds>(now - this->read_at_);
  const std::int64_t drift_ms = since.count() / kSecondsPerMsOfDrift;
  const bool delayed = this->clock_ms_ != 0 && lag_ms > drift_ms && lag_ms < kMaxLagMs;
  if (delayed) return;
  this->clock_ms_ = clock_ms;
  this->read_at_ = now;
}

}  // namespace linenpier::lease
