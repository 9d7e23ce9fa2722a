#include "gateway/engines/latency_history.h"

#include <algorithm>

namespace linenpier::engines {

namespace {
/// Minimum number of event times in a window, enough for a mean that is exact to a few per cent.
constexpr std::size_t kMinEventsPerWindow = 16;
/// Minimum length of a window, so that the history outlasts a slowdown of some seconds.
constexpr Duration kMinWindow = std::chrono::seconds(1);
constexpr std::size_t kMaxWindows = 16;
/// Highest ratio that different hardware within a service can cause. An engine with a higher ratio
/// has a fault, which may clear at any time, so its long-term ratio is not used.
constexpr double kMaxHardwareRatio = 2;
/// Time after which the ratio of an engine expires. An engine that is avoided because of its ratio
/// is not measured, so it is tried again after this time.
constexpr Duration kRatioLifetime = std::chrono::seconds(60);
}  // namespace

bool latency_history::onEventTime(Instant now, double seconds) {
  if (this->event_count_ == 0) this->window_start_ = now;
  this->event_time_sum_ += seconds;
  ++this->event_count_;
  this->measured_at_ = now;
  return this->event_count_ >= kMinEventsPerWindow && now - this->window_start_ >= kMinWindow;
}

void latency_history::closeWindow(double median_event_time) {
  const double mean = this->event_time_sum_ / static_cast<double>(this->event_count_);
  this->event_time_sum_ = 0;
  this->event_count_ = 0;
  if (median_event_time <= 0) return;
  this->window_ratios_.push_back(mean / median_event_time);
  if (this->window_ratios_.size() > kMaxWindows)
    this->window_ratios_.erase(this->window_ratios_.begin());
}

double latency_history::baselineRatio(Instant now) const {
  if (this->window_ratios_.empty() || now - this->measured_at_ > kRatioLifetime) return 1;
  const double least = *std::min_element(this->window_ratios_.begin(), this->window_ratios_.end());
  return least > kMaxHardwareRatio ? 1 : least;
}

}  // namespace linenpier::engines
