#include "gateway/engines/engine_load.h"

#include <algorithm>

namespace linenpier::engines {

void engine_load::onAttemptEnded() {
  if (this->in_flight_ > 0) --this->in_flight_;
}

void engine_load::addExpectedTokens(double tokens) {
  this->expected_tokens_ = std::max(0.0, this->expected_tokens_ + tokens);
}

void engine_load::onReport(Instant now, const load_report& report) {
  const double total = static_cast<double>(report.running) + report.waiting;
  this->other_requests_ = std::max(0.0, total - this->in_flight_);
  this->reported_at_ = now;
}

void engine_load::onRestarted() {
  this->other_requests_ = 0;
  this->reported_at_ = Instant{};
}

}  // namespace linenpier::engines
