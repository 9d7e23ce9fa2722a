#pragma once

/** @file
 * The clock that all times of this product are measured on. It goes on while the machine is
 * suspended, which the steady clock does not: a lease, a right, a feed's word or a deadline is as
 * old as it seems, also to a daemon that wakes. It never goes back.
 */

#include <chrono>

namespace linenpier {

/** Where the time comes from; tests put their own in place. */
class clock_source {
 public:
  virtual ~clock_source() = default;

  /** @return the time since the machine started, that in which it was suspended included. */
  virtual std::chrono::microseconds sinceStart() const = 0;
  /** @return how long the machine was suspended in all. */
  virtual std::chrono::microseconds suspended() const = 0;
};

/** In the form that the standard library and Asio ask of a clock. */
class machine_clock {
 public:
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<machine_clock, duration>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)

  static time_point now();
  /** What was heard over a time in which this has grown may be older than it seems. */
  static duration suspended();
  /** @param source null: the machine's own clock. */
  static void setSource(const clock_source* source);
};

}  // namespace linenpier
