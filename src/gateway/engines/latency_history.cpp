#include "gateway/engines/latency_history.h"

#include <algorithm>

namespace linenpier::engines {

namespace {
/// The mean of so many event times is within a few hundredths.
constexpr std::size_t kEventsPerSpan = 16;
/// Spans take at least this long, so that those kept outlast what slows an engine for some seconds.
constexpr Duration kMinSpan = std::chrono::seconds(1);
constexpr std::size_t kMaxSpans = 16;
/// Hardware classes of one service differ by less. A slower engine has a fault, which may pass at
/// any time, and counts as usual.
constexpr double kMaxHardwareRatio = 2;
/// An engine that is avoided is not measured: it must be tried again some time.
constexpr Duration kHistoryLifetime = std::chrono::seconds(60);
}  // namespace

bool latency_history::onEventTime(Instant now, double seconds) {
  if (this->events_ == 0) this->opened_at_ = now;
  this->seconds_ += seconds;
  ++this->events_;
  this->measured_at_ = now;
  return this->events_ >= kEventsPerSpan && now - this->opened_at_ >= kMinSpan;
}

void latency_history::close(double median_event_time) {
  const double mean = this->seconds_ / static_cast<double>(this->events_);
  this->seconds_ = 0;
  this->events_ = 0;
  if (median_event_time <= 0) return;
  this->spans_.push_back(mean / median_event_time);
  if (this->spans_.size() > kMaxSpans) this->spans_.erase(this->spans_.begin());
}

double latency_history::value(Instant now) const {
  if (this->spans_.empty() || now - this->measured_at_ > kHistoryLifetime) return 1;
  const double least = *std::min_element(this->spans_.begin(), this->spans_.end());
  return least > kMaxHardwareRatio ? 1 : least;
}

}  // namespace linenpier::engines
