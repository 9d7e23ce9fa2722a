#include "common/machine_clock.h"

#include <ctime>

namespace linenpier {

namespace {

const clock_source* other_source = nullptr;

std::chrono::microseconds read(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  const auto whole = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
  return std::chrono::duration_cast<std::chrono::microseconds>(whole);
}

}  // namespace

machine_clock::time_point machine_clock::now() {
  return time_point(other_source != nullptr ? other_source->sinceStart() : read(CLOCK_BOOTTIME));
}

machine_clock::duration machine_clock::suspended() {
  if (other_source != nullptr) return other_source->suspended();
  return read(CLOCK_BOOTTIME) - read(CLOCK_MONOTONIC);
}

void machine_clock::setSource(const clock_source* source) {
  other_source = source;
}

}  // namespace linenpier
