#include "gateway/usage/cluster_time.h"

#include <algorithm>
#include <cstdio>

namespace linenpier::usage {

std::string encodeSample(const clock_sample& sample) {
  return std::to_string(sample.offset_ms) + " " + std::to_string(sample.taken_ms);
}

std::optional<clock_sample> decodeSample(const std::string& text) {
  long long offset_ms = 0;
  long long taken_ms = 0;
  if (std::sscanf(text.c_str(), "%lld %lld", &offset_ms, &taken_ms) != 2) return std::nullopt;
  return clock_sample{offset_ms, taken_ms};
}

std::optional<std::int64_t> medianOffset(const std::vector<clock_sample>& samples,
                                         std::int64_t since_ms) {
  std::vector<std::int64_t> offsets;
  for (const clock_sample& sample : samples) {
    if (sample.taken_ms >= since_ms) offsets.push_back(sample.offset_ms);
  }
  if (offsets.empty()) return std::nullopt;
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle;
}

usage_windows::usage_windows(Duration length, std::int64_t offset_ms)
    : length_ms_(std::chrono::duration_cast<std::chrono::milliseconds>(length).count()),
      offset_ms_(offset_ms) {}

window_number usage_windows::at(std::int64_t store_ms) const {
  return (store_ms + this->offset_ms_) / this->length_ms_;
}

std::int64_t usage_windows::endOf(window_number window) const {
  return (window + 1) * this->length_ms_ - this->offset_ms_;
}

}  // namespace linenpier::usage
