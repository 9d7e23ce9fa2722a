#pragma once

/** @file
 * Usage: the requests of each tenant that began to run, reported by windows of true time. Composes
 * the counting (usage_writer.h), which every daemon does, and the reporting (usage_reporter.h),
 * which is one leader's.
 */

#include <functional>
#include <string>

#include "gateway/usage/usage_recorder.h"
#include "gateway/usage/usage_reporter.h"
#include "gateway/usage/usage_writer.h"

namespace linenpier::usage {

struct usage_totals {
  std::uint64_t counted = 0;
  std::uint64_t dropped = 0;   ///< Not counted: too many waited for the store's clock.
  std::uint64_t late = 0;      ///< Counted for a window that had been added up already.
  std::uint64_t reported = 0;  ///< Windows that the platform took from this daemon.
};

/** Loop thread only. Lives as long as the loop runs. */
class usage_service : public usage_recorder {
 public:
  struct dependencies {
    lease::leader_lock::dependencies lock;
    usage_port& port;
    std::string holder;  ///< Name of this daemon in reports.
    std::function<std::int64_t()> time_of_day_ms;
    usage_writer::write_by_peer by_peer;
  };
  usage_service(const dependencies& deps, const usage_options& options);

  void start();
  void onRequestStarted(const TenantId& tenant, Instant at) override;
  /** The row that says what true time is. */
  void onClockRow(const table::Row& row) { this->clock_.onRow(row); }
  /** The row of the reporting lock, as the feed shows it. */
  void onLockRow(const table::Row& row) { this->reporter_.onLockRow(row); }
  void onLockRemoved() { this->reporter_.onLockRemoved(); }
  /** The table of locks was read: if the lock's row was not in it, there is none. */
  void onTableRead() { this->reporter_.onTableRead(); }
  bool holdsLock() const { return this->reporter_.holdsLock(); }
  /** Gives the lock up; counts go on being written. */
  Task<void> handOver() { return this->reporter_.handOver(); }
  /** @return whether counts wait to be written. */
  bool unsaved() const { return this->writer_.unsaved(); }
  usage_totals totals() const;

 private:
  bool enabled() const { return this->window_ > Duration::zero(); }

  Duration window_;  ///< Zero: usage is not reported.
  cluster_clock clock_;
  usage_writer writer_;
  usage_reporter reporter_;
};

}  // namespace linenpier::usage
