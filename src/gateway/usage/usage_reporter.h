#pragma once

/** @file
 * Reports each window's usage to the platform once. One daemon, the leader of a lock, does so.
 *
 * Some time after a window's end the leader adds its rows up. What it will report is written down
 * first, under the condition that the lock is still held; then it is sent again and again until the
 * platform takes it. So the next leader sends the same bytes. The leader also settles true time.
 */

#include <optional>
#include <string>
#include <vector>

#include "gateway/lease/leader_lock.h"
#include "gateway/usage/cluster_clock.h"
#include "gateway/usage/usage_progress.h"

namespace linenpier::usage {

/** Loop thread only. Lives as long as the loop runs. */
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
  /** The row of the lock, as the feed shows it. */
  void onLockRow(const table::Row& row) { this->lock_.onRow(row); }
  void onLockRemoved() { this->lock_.onRowRemoved(); }
  /** The table of locks was read: if the lock's row was not in it, there is none. */
  void onTableRead() { this->table_read_ = true; }
  bool holdsLock() const { return this->lock_.held(); }
  Task<void> handOver();
  /** @return windows that the platform took from this daemon. */
  std::uint64_t reported() const { return this->total_reported_; }

 private:
  /** The rows of a window, added up. */
  struct window_sum {
    usage_report report;
    std::size_t daemons = 0;            ///< Rows that were added.
    std::vector<std::string> obsolete;  ///< Keys of rows of earlier windows.
  };

  Task<void> lockLoop();
  Task<void> reportLoop();
  /** Does the next thing that is due. */
  Task<void> reportNext();
  Task<bool> readProgress();
  /** @return whether the window may be added up: its rows have had time to arrive. */
  bool due(Instant now, window_number window) const;
  /** Adds a window up, writes down what is to be reported, and sends it. */
  Task<void> commitReport(window_number window);
  /** @return nothing if the store did not answer. */
  Task<std::optional<window_sum>> sumWindow(window_number window);
  /** Removes rows that nobody needs any more. */
  Task<void> removeRows(std::vector<std::string> keys);
  Task<void> send();

  dependencies deps_;
  usage_options options_;
  lease::leader_lock lock_;
  std::optional<usage_progress> progress_;  ///< Empty while this leader has not read the row.
  Instant acquired_at_{};                   ///< When this daemon became the leader.
  /// Counts that were held up have this long been on their way: since then the store is known to
  /// answer, and this leader could act.
  Instant store_recovered_at_{};
  bool could_act_ = false;  ///< Whether this leader could act when last asked.
  bool table_read_ = false;
  std::uint64_t total_reported_ = 0;
};

}  // namespace linenpier::usage
