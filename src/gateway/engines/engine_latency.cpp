#include "gateway/engines/engine_latency.h"

#include <algorithm>

namespace linenpier::engines {

namespace {
/// Upper bound of the ratio of an engine's event time to the median of its service.
constexpr double kMaxLatencyRatio = 8;
}  // namespace

bool engine_latency::onEventTime(Instant now, Duration duration, const latency_options& options) {
  const double seconds = toSeconds(duration);
  if (this->isRecent(now, options)) {
    this->event_time_ += options.event_time_weight * (seconds - this->event_time_);
  } else {
    this->event_time_ = seconds;
  }
  this->measured_at_ = now;
  return this->history_.onEventTime(now, seconds);
}

double engine_latency::ratio(Instant now, double median_event_time,
                             const latency_options& options) const {
  const bool known = median_event_time > 0 && this->isRecent(now, options);
  if (!known) return this->history_.baselineRatio(now);
  return std::min(this->event_time_ / median_event_time, kMaxLatencyRatio);
}

}  // namespace linenpier::engines
