#include "gateway/engines/latency_history.h"

#include <criterion/criterion.h>

using namespace linenpier;
using engines::latency_history;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};
constexpr double kMedian = 0.05;

/** Observes the engine for `span` with that pace. */
void observe(latency_history& engine, Instant& now, Duration span, double seconds) {
  const Instant end = now + span;
  while (now < end) {
    now += std::chrono::milliseconds(20);
    if (engine.onEventTime(now, seconds)) engine.closeWindow(kMedian);
  }
}

}  // namespace

Test(lasting_slowness, nothing_is_said_of_an_engine_that_made_little) {
  latency_history engine;
  engine.onEventTime(kStart, 1);
  cr_assert_eq(engine.baselineRatio(kStart), 1);
}

Test(lasting_slowness, an_engine_that_is_always_slow_is_slow) {
  latency_history engine;
  Instant now = kStart;
  observe(engine, now, std::chrono::seconds(10), 0.065);
  cr_assert_float_eq(engine.baselineRatio(now), 1.3, 0.01);
}

Test(lasting_slowness, what_passes_is_not_held_against_an_engine) {
  latency_history engine;
  Instant now = kStart;
  observe(engine, now, std::chrono::seconds(2), 0.05);
  observe(engine, now, std::chrono::seconds(8), 0.15);
  cr_assert_float_eq(engine.baselineRatio(now), 1, 0.01, "it was quick before");
}

Test(lasting_slowness, an_engine_that_becomes_slow_for_good_is_slow_in_the_end) {
  latency_history engine;
  Instant now = kStart;
  observe(engine, now, std::chrono::seconds(2), 0.05);
  observe(engine, now, std::chrono::seconds(40), 0.07);
  cr_assert_float_eq(engine.baselineRatio(now), 1.4, 0.01);
}

Test(lasting_slowness, an_engine_that_is_many_times_slower_has_a_fault_that_may_pass) {
  latency_history engine;
  Instant now = kStart;
  observe(engine, now, std::chrono::seconds(10), 0.15);
  cr_assert_eq(engine.baselineRatio(now), 1);
}

Test(lasting_slowness, an_engine_that_nobody_used_for_long_is_tried_again) {
  latency_history engine;
  Instant now = kStart;
  observe(engine, now, std::chrono::seconds(10), 0.07);
  cr_assert_float_eq(engine.baselineRatio(now + std::chrono::seconds(50)), 1.4, 0.01);
  cr_assert_eq(engine.baselineRatio(now + std::chrono::seconds(70)), 1);
}

Test(lasting_slowness, an_engine_that_was_first_met_slow_is_forgiven_once_it_is_quick) {
  latency_history engine;
  Instant now = kStart;
  observe(engine, now, std::chrono::seconds(5), 0.15);
  observe(engine, now, std::chrono::seconds(2), 0.05);
  cr_assert_float_eq(engine.baselineRatio(now), 1, 0.01);
}
