#include "gateway/batch/length_estimator.h"

#include <algorithm>

namespace linenpier::batch {

namespace {
/// Lower limit of the expected number of further events, relative to those generated so far.
constexpr double kOverrunFactor = 0.5;
}  // namespace

void length_estimator::onFinished(std::uint64_t hint, std::uint64_t events) {
  if (hint == 0 || events == 0) return;
  this->hinted_tokens_ += static_cast<double>(hint);
  this->events_made_ += static_cast<double>(events);
}

double length_estimator::remainingEvents(std::uint64_t hint, std::uint64_t events) const {
  const double made = static_cast<double>(events);
  const double overrun = kOverrunFactor * made;
  if (hint == 0 || this->hinted_tokens_ <= 0) return overrun;
  const double expected = static_cast<double>(hint) * this->events_made_ / this->hinted_tokens_;
  return std::max(expected - made, overrun);
}

}  // namespace linenpier::batch
