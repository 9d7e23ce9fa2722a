#include "gateway/engines/latency_history.h"

#include <criterion/criterion.h>

using namespace linenpier;
using engines::latency_history;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};
constexpr double kMedian = 0.05;

/** Records events of `seconds` each for a time. */
void recordEvents(latency_history& engine, Instant& now, Duration length, double seconds) {
  const Instant end = now + length;
  while (now < end) {
    now += std::chrono::milliseconds(20);
    if (engine.onEventTime(now, seconds)) engine.closeWindow(kMedian);
  }
}

}  // namespace

Test(latency_history, ratio_is_1_without_a_complete_window) {
  latency_history engine;
  engine.onEventTime(kStart, 1);
  cr_assert_eq(engine.baselineRatio(kStart), 1);
}

Test(latency_history, constantly_slow_engine_has_a_high_ratio) {
  latency_history engine;
  Instant now = kStart;
  recordEvents(engine, now, std::chrono::seconds(10), 0.065);
  cr_assert_float_eq(engine.baselineRatio(now), 1.3, 0.01);
}

Test(latency_history, ignores_temporary_slowness) {
  latency_history engine;
  Instant now = kStart;
  recordEvents(engine, now, std::chrono::seconds(2), 0.05);
  recordEvents(engine, now, std::chrono::seconds(8), 0.15);
  cr_assert_float_eq(engine.baselineRatio(now), 1, 0.01, "it was fast before");
}

Test(latency_history, permanent_slowdown_raises_the_ratio_eventually) {
  latency_history engine;
  Instant now = kStart;
  recordEvents(engine, now, std::chrono::seconds(2), 0.05);
  recordEvents(engine, now, std::chrono::seconds(40), 0.07);
  cr_assert_float_eq(engine.baselineRatio(now), 1.4, 0.01);
}

Test(latency_history, ratio_is_1_for_an_engine_slower_than_hardware_explains) {
  latency_history engine;
  Instant now = kStart;
  recordEvents(engine, now, std::chrono::seconds(10), 0.15);
  cr_assert_eq(engine.baselineRatio(now), 1);
}

Test(latency_history, ratio_expires_without_measurements) {
  latency_history engine;
  Instant now = kStart;
  recordEvents(engine, now, std::chrono::seconds(10), 0.07);
  cr_assert_float_eq(engine.baselineRatio(now + std::chrono::seconds(50)), 1.4, 0.01);
  cr_assert_eq(engine.baselineRatio(now + std::chrono::seconds(70)), 1);
}

Test(latency_history, engine_that_was_slow_at_first_recovers) {
  latency_history engine;
  Instant now = kStart;
  recordEvents(engine, now, std::chrono::seconds(5), 0.15);
  recordEvents(engine, now, std::chrono::seconds(2), 0.05);
  cr_assert_float_eq(engine.baselineRatio(now), 1, 0.01);
}
