#pragma once

/** @file
 * Counts the started requests of each tenant and reports them by windows of cluster time. Every
 * daemon counts (usage_writer.h); only the leader reports (usage_reporter.h).
 */

#include <functional>
#include <string>

#include "gateway/usage/usage_recorder.h"
#include "gateway/usage/usage_reporter.h"
#include "gateway/usage/usage_writer.h"

namespace linenpier::usage {

struct usage_totals {
  std::uint64_t counted = 0;
  /// Requests not counted because too many were waiting for the store's clock.
  std::uint64_t dropped = 0;
  std::uint64_t late = 0;      ///< Requests counted for a window that had already been summed.
  std::uint64_t reported = 0;  ///< Windows that the platform accepted from this daemon.
};

/** Runs on the loop thread only; must live as long as the loop runs. */
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
  /** Handles the row with the offset of cluster time. */
  void onClockRow(const table::Row& row) { this->clock_.onRow(row); }
  /** Handles the reporting lock's row from the feed. */
  void onLockRow(const table::Row& row) { this->reporter_.onLockRow(row); }
  void onLockRemoved() { this->reporter_.onLockRemoved(); }
  /** Records that the table of locks was read, after which a lock without a row is free. */
  void onTableRead() { this->reporter_.onTableRead(); }
  bool holdsLock() const { return this->reporter_.holdsLock(); }
  /** Starts to release the reporting lock. This daemon still writes its counts. */
  void handOver() { this->reporter_.handOver(); }
  /** @return whether counts are waiting to be stored. */
  bool unsaved() const { return this->writer_.unsaved(); }
  usage_totals totals() const;

 private:
  bool enabled() const { return this->window_ > Duration::zero(); }

  Duration window_;  ///< Zero disables usage reports.
  cluster_clock clock_;
  usage_writer writer_;
  usage_reporter reporter_;
};

}  // namespace linenpier::usage
