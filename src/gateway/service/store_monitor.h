#pragma once

/** @file
 * Whether the store answers this gateway, as far as owned work goes. When it answers again after an
 * outage, all that waits to ask it asks at once: the feeds, the read of the leases, and calls that
 * were sent while it was away are given up.
 *
 * Takeovers need both the leases and the feed of what is owned: the table of leases is told that
 * the store is there only while both are answered. A gateway that owns work asks the store again
 * and again while it is away, so that its return is noticed at once. Owns whether the leases are
 * answered; relies on the feeds and on the watch of the leases.
 */

#include <functional>
#include <vector>

#include "gateway/lease/lease_watch.h"
#include "gateway/table/table_watcher.h"

namespace linenpier::gateway {

/** Loop thread only. */
class store_monitor {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    table::AsyncTable& table;
    lease::lease_table& leases;
    lease::lease_watch& lease_watch;
    table::TableWatcher& coordination;
    std::vector<table::TableWatcher*> feeds;  ///< All of them.
    std::function<bool()> needs_probes;       ///< Whether work waits for the store's return.
  };

  explicit store_monitor(dependencies deps) : deps_(std::move(deps)) {}

  void start();
  /** The leases were read, or could not be. */
  void onLeasesRead(bool answered);
  /** The feed of the coordination table was lost or answers again. */
  void onCoordinationHealth(bool healthy);
  /** The store has answered somewhere: whatever waits asks it again. */
  void onStoreReachable();

 private:
  void onStoreReachable(Duration stale_after);
  void updateLeaseHealth();
  Task<void> probeLoop();
  Task<void> probe();

  dependencies deps_;
  bool leases_readable_ = false;  ///< Whether the last read of the leases was answered.
};

}  // namespace linenpier::gateway
