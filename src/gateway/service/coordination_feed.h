#pragma once

/** @file
 * Watches the coordination table (jobs, leader locks, suspect requests and the cluster
 * time that usage windows are measured by) and passes each row to the component that handles it.
 */

#include <functional>

#include "gateway/batch/batch_service.h"
#include "gateway/scaling/scaling_service.h"
#include "gateway/suspects/suspect_service.h"
#include "gateway/table/table_watcher.h"
#include "gateway/usage/usage_service.h"
#include "gateway/versions/rollout_service.h"

namespace linenpier::gateway {

/** Used only on the event loop thread. */
class coordination_feed {
 public:
  struct row_handlers {
    batch::batch_service& batches;
    versions::rollout_service& rollouts;
    usage::usage_service& usage;
    scaling::scaling_service& scaling;
    suspects::suspect_service& suspects;
  };
  struct listener {
    /// Whether this gateway owns jobs or leader locks, or is a candidate for owning them.
    std::function<bool()> owns_work;
    std::function<void(bool healthy)> on_health;
    std::function<void(std::int64_t clock_ms)> on_store_clock;
  };

  coordination_feed(boost::asio::io_context& loop, table::AsyncTable& table,
                    row_handlers row_handlers, listener listener, std::uint64_t seed);

  void start() { this->watcher_.start(); }
  table::TableWatcher& watcher() { return this->watcher_; }
  const table::TableWatcher& watcher() const { return this->watcher_; }

 private:
  static table::TableWatcher::Listener watcherListener(coordination_feed& feed);
  static table::WatcherOptions watcherOptions(const coordination_feed& feed, std::uint64_t seed);

  void onSnapshot(const std::vector<table::Row>& rows);
  void onChange(const table::RowChange& change);

  row_handlers handlers_;
  listener listener_;
  table::TableWatcher watcher_;
};

}  // namespace linenpier::gateway
