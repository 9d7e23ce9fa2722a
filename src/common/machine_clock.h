#pragma once

/** @file
 * The monotonic clock for all time measurements. Unlike the steady clock it includes the time in
 * which the machine is suspended, so that leases, locks and deadlines expire during a suspension.
 */

#include <chrono>

namespace linenpier {

/** Source of the time, which tests can replace. */
class clock_source {
 public:
  virtual ~clock_source() = default;

  /** @return the time since the machine started, including suspensions. */
  virtual std::chrono::microseconds sinceStart() const = 0;
  /** @return the total time in which the machine was suspended. */
  virtual std::chrono::microseconds suspended() const = 0;
};

/** Meets the clock requirements of the standard library and Asio. */
class machine_clock {
 public:
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<machine_clock, duration>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)

  static time_point now();
  /** If this increases while data is received, the data may be older than it seems. */
  static duration suspended();
  /** @param source null: the system clock. */
  static void setSource(const clock_source* source);
};

}  // namespace linenpier
