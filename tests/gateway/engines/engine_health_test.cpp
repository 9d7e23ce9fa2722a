#include "gateway/engines/engine_health.h"

#include <criterion/criterion.h>

#include <initializer_list>
#include <utility>

using namespace linenpier;
using namespace std::chrono_literals;
using engines::engine_health;
using engines::HealthOutcome;

namespace {

constexpr Instant kStart{std::chrono::seconds(100)};
const engines::health_options kOptions;

/** Ends one attempt per second. @return the time of the last one. */
Instant endAttempts(engine_health& health, HealthOutcome end, int attempts) {
  for (int i = 0; i < attempts; ++i) health.onAttemptEnded(kStart + i * 1s, end, kOptions);
  return kStart + (attempts - 1) * 1s;
}

/** Checks that the engine is ejected from `from` for exactly `ejection`. */
void expectEjection(const engine_health& health, Instant from, Duration ejection) {
  cr_assert(health.isEjected(from + ejection - 1ms));
  cr_assert_not(health.isEjected(from + ejection));
}

}  // namespace

Test(engine_health, broken_responses_eject_from_the_second_on_with_doubling_time) {
  for (const auto& [failures, ejection] : std::initializer_list<std::pair<int, Duration>>{
           {2, 1400ms}, {3, 2800ms}, {4, 5600ms}, {5, 6s}}) {
    engine_health health;
    const Instant last = endAttempts(health, HealthOutcome::kBroken, failures);
    cr_assert_eq(health.failures(), failures);
    expectEjection(health, last, ejection);
  }
  engine_health health;
  cr_assert_not(health.isEjected(endAttempts(health, HealthOutcome::kBroken, 1)));
}

Test(engine_health, timeout_or_unreachable_ejects_immediately) {
  for (const HealthOutcome end : {HealthOutcome::kTimeout, HealthOutcome::kUnreachable}) {
    engine_health health;
    expectEjection(health, endAttempts(health, end, 1), 700ms);
  }
}

Test(engine_health, rejection_neither_ejects_nor_resets) {
  engine_health health;
  const Instant last = endAttempts(health, HealthOutcome::kTimeout, 2);
  health.onAttemptEnded(last + 1s, HealthOutcome::kRejected, kOptions);
  cr_assert_eq(health.failures(), 2);
  expectEjection(health, last, 1400ms);
}

Test(engine_health, success_resets_the_failures_but_does_not_end_the_ejection) {
  engine_health health;
  const Instant last = endAttempts(health, HealthOutcome::kBroken, 3);
  health.onAttemptEnded(last + 1s, HealthOutcome::kSuccess, kOptions);
  cr_assert_eq(health.failures(), 0);
  expectEjection(health, last, 2800ms);
}

Test(engine_health, further_failure_replaces_the_end_of_the_ejection) {
  engine_health health;
  health.onAttemptEnded(kStart, HealthOutcome::kWrongEngine, kOptions);
  health.onAttemptEnded(kStart + 1s, HealthOutcome::kBroken, kOptions);
  expectEjection(health, kStart + 1s, 1400ms);
}

// Guards against an engine that is picked again and again while it is unreachable, because the
// failure is ignored as part of a burst of broken responses.
Test(engine_health, unreachable_engine_is_ejected_within_a_burst_of_broken_responses) {
  engine_health health;
  health.onAttemptEnded(kStart, HealthOutcome::kBroken, kOptions);
  health.onAttemptEnded(kStart + 100ms, HealthOutcome::kUnreachable, kOptions);
  cr_assert_eq(health.failures(), 1);
  expectEjection(health, kStart + 100ms, 700ms);
}

Test(engine_health, burst_of_failures_ejects_once) {
  engine_health health;
  health.onAttemptEnded(kStart, HealthOutcome::kUnreachable, kOptions);
  health.onAttemptEnded(kStart + 100ms, HealthOutcome::kUnreachable, kOptions);
  expectEjection(health, kStart, 700ms);
}
