#include "common/machine_clock.h"

#include <ctime>

namespace linenpier {

namespace {

const clock_source* custom_source = nullptr;

std::chrono::microseconds readClock(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  const auto time_since_start =
      std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
  return std::chrono::duration_cast<std::chrono::microseconds>(time_since_start);
}

}  // namespace

machine_clock::time_point machine_clock::now() {
  return time_point(custom_source != nullptr ? custom_source->sinceStart()
                                             : readClock(CLOCK_BOOTTIME));
}

machine_clock::duration machine_clock::suspended() {
  if (custom_source != nullptr) return custom_source->suspended();
  return readClock(CLOCK_BOOTTIME) - readClock(CLOCK_MONOTONIC);
}

void machine_clock::setSource(const clock_source* source) {
  custom_source = source;
}

}  // namespace linenpier
