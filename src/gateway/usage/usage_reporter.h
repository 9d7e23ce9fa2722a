#pragma once

/** @file
 * Reports each window's usage to the platform once. Runs at one daemon, the holder of a leader
 * lock.
 *
 * Some time after a window's end the leader sums the rows in which the daemons stored their counts.
 * It stores the report, conditional on the lock still being held, and then sends it repeatedly
 * until the platform accepts it, so that the next leader sends the same bytes. The leader also
 * synchronizes cluster time.
 */

#include <optional>
#include <string>
#include <vector>

#include "gateway/lease/leader_lock.h"
#include "gateway/usage/cluster_clock.h"
#include "gateway/usage/usage_progress.h"

namespace linenpier::usage {

/** Runs on the loop thread only; must live as long as the loop runs. */
class usage_reporter {
 public:
  struct dependencies {
    lease::leader_lock::dependencies lock;
    usage_port& port;
    std::string holder;  ///< Name of this daemon in reports.
    cluster_clock& clock;
  };
  usage_reporter(dependencies deps, const usage_options& options);

  void start();
  /** Handles the row of the reporting lock from the feed. */
  void onLockRow(const table::Row& row) { this->lock_.onRow(row); }
  void onLockRemoved() { this->lock_.onRowRemoved(); }
  /** Records that the table of locks was read, after which a lock without a row is free. */
  void onTableRead() { this->table_read_ = true; }
  bool holdsLock() const { return this->lock_.held(); }
  void handOver() { this->lock_.handOver(); }
  /** @return the number of windows that the platform accepted from this daemon. */
  std::uint64_t reported() const { return this->total_reported_; }

 private:
  /** The sum of a window's rows. */
  struct window_sum {
    usage_report report;
    std::size_t daemons = 0;            ///< Number of daemons whose rows were summed.
    std::vector<std::string> obsolete;  ///< Keys of rows of earlier windows.
  };

  Task<void> lockLoop();
  Task<void> reportLoop();
  /** Synchronizes cluster time if due, then sends the pending report or commits the next one. */
  Task<void> reportNext();
  Task<bool> readProgress();
  /** @return whether the window's rows have had time to arrive, so that it can be summed. */
  bool due(Instant now, window_number window) const;
  /** Closes a window, after which no counts are added to it. @return whether it is closed. */
  Task<bool> closeWindow(window_number window);
  /** Closes and sums a window, stores the report and sends it. */
  Task<void> commitReport(window_number window);
  /** @return the sum of the window's rows; nothing if the store did not respond. */
  Task<std::optional<window_sum>> sumWindow(window_number window);
  /** Removes the rows of usage counts with these keys. */
  Task<void> removeRows(std::vector<std::string> keys);
  Task<void> send();

  dependencies deps_;
  usage_options options_;
  lease::leader_lock lock_;
  std::optional<usage_progress> progress_;  ///< Progress row; empty until this leader has read it.
  Instant acquired_at_{};                   ///< When this daemon became the leader.
  /// Since when the store has responded and this leader has been able to act. Counts from before
  /// that time may still be arriving.
  Instant store_recovered_at_{};
  bool could_act_ = false;  ///< Whether this leader could act at the last tick.
  bool table_read_ = false;
  std::uint64_t total_reported_ = 0;
};

}  // namespace linenpier::usage
