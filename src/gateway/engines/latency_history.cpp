#include "gateway/engines/latency_history.h"

#include <algorithm>

namespace linenpier::engines {

namespace {
/// Units of work in a span: their mean is within a few hundredths.
constexpr std::size_t kUnits = 16;
/// A span takes at least this long, so that the spans kept outlast what slows an engine for some
/// seconds.
constexpr Duration kMinSpan = std::chrono::seconds(1);
constexpr std::size_t kSpans = 16;
/// Engines of one service that are slower than this have a fault, which may pass at any time.
constexpr double kMaxByMake = 2;
/// An engine that is avoided is not measured: it must be tried again some time.
constexpr Duration kLifetime = std::chrono::seconds(60);
}  // namespace

bool latency_history::onEventTime(Instant now, double seconds) {
  if (this->units_ == 0) this->opened_at_ = now;
  this->seconds_ += seconds;
  ++this->units_;
  this->observed_at_ = now;
  return this->units_ >= kUnits && now - this->opened_at_ >= kMinSpan;
}

void latency_history::close(double median_event_time) {
  const double mean = this->seconds_ / static_cast<double>(this->units_);
  this->seconds_ = 0;
  this->units_ = 0;
  if (median_event_time <= 0) return;
  this->spans_.push_back(mean / median_event_time);
  if (this->spans_.size() > kSpans) this->spans_.erase(this->spans_.begin());
}

double latency_history::value(Instant now) const {
  if (this->spans_.empty() || now - this->observed_at_ > kLifetime) return 1;
  const double least = *std::min_element(this->spans_.begin(), this->spans_.end());
  return least > kMaxByMake ? 1 : least;
}

}  // namespace linenpier::engines
