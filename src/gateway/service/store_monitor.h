#pragma once

/** @file
 * Tracks whether the store is available for the jobs and leader locks that this gateway owns (its
 * owned work), and speeds up recovery after an outage:
 * calls sent during the outage are aborted, and the feeds and the lease read retry at once.
 *
 * Takeovers need both the leases and the coordination feed, so the lease table is marked healthy
 * only while the lease reads and the coordination feed both succeed. A gateway that owns work
 * probes the store during an outage to detect when the store is available again.
 */

#include <functional>
#include <vector>

#include "gateway/lease/lease_poller.h"
#include "gateway/table/table_watcher.h"

namespace linenpier::gateway {

/** Used only on the event loop thread. */
class store_monitor {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    table::AsyncTable& table;
    lease::lease_table& leases;
    lease::lease_poller& lease_poller;
    table::TableWatcher& coordination;
    std::vector<table::TableWatcher*> feeds;
    /// Whether jobs or leader locks of this gateway wait for the store.
    std::function<bool()> needs_probes;
  };

  explicit store_monitor(dependencies deps) : deps_(std::move(deps)) {}

  void start();
  /** Handles the result of a lease read. */
  void onLeasesRead(bool answered);
  /** Handles a health change of the coordination feed. */
  void onCoordinationHealth(bool healthy);
  /** Handles a successful store call: aborts stale calls, and makes all failed readers retry at
   * once.
   */
  void onStoreReachable();

 private:
  void onStoreReachable(Duration stale_after);
  void updateLeaseHealth();
  Task<void> probeLoop();
  Task<void> probe();

  dependencies deps_;
  bool leases_readable_ = false;  ///< Whether the last lease read succeeded.
};

}  // namespace linenpier::gateway
