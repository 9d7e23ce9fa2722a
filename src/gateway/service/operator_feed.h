#pragma once

/** @file
 * Follows the operator's table: the configuration in force, the versions of weights that trainers
 * name, and the closed zones. While the store is away a peer tells the configuration and the zones.
 * Owns the feed of the table and the newest configuration; relies on the platform for the form of
 * the rows.
 */

#include <functional>
#include <string>

#include "gateway/service/closed_zones_monitor.h"
#include "gateway/service/platform_port.h"
#include "gateway/table/table_watcher.h"

namespace linenpier::gateway {

/** Loop thread only.
 *
 * Invariant: the configuration's version never goes back within a process's life, whoever told it.
 */
class operator_feed {
 public:
  struct listener {
    std::function<void(const routing::RouteTable&)> on_configuration;
    std::function<void(const PublishedVersion&)> on_published_version;
    std::function<void()> on_store_reachable;
  };

  operator_feed(boost::asio::io_context& loop, PlatformPort& platform, closed_zones_monitor& zones,
                listener listener, std::uint64_t seed);

  void start() { this->watcher_.start(); }
  /** @return the newest configuration seen in this life; empty before the first. */
  const routing::RouteTablePtr& routes() const { return this->routes_; }
  /** @return 0 before the first configuration. */
  std::uint64_t configurationVersion() const { return this->routes_ ? this->routes_->version : 0; }
  /** @return the configuration as the operator's row has it, with digests in place of keys. */
  const std::string& configurationWithHashedKeys() const { return this->configuration_; }
  /** @return whether this gateway follows the operator's changes, so that it may say that a route
   * or a key does not exist.
   */
  bool authoritative() const { return this->routes_ && this->watcher_.healthy(); }
  /** @return the revision of the operator's table that the closed zones are as of. */
  Revision zonesRevision() const;
  table::TableWatcher& watcher() { return this->watcher_; }
  const table::TableWatcher& watcher() const { return this->watcher_; }

  /** Puts a configuration into force if it is newer than the one in force. */
  void onConfiguration(const std::string& value);

 private:
  static table::TableWatcher::Listener watcherListener(operator_feed& feed);
  static table::WatcherOptions watcherOptions(std::uint64_t seed);

  void onSnapshot(const std::vector<table::Row>& rows);
  void onChange(const table::RowChange& change);
  void onRow(const table::Row& row);

  PlatformPort& platform_;
  closed_zones_monitor& zones_;
  listener listener_;
  routing::RouteTablePtr routes_;
  std::string configuration_;
  table::TableWatcher watcher_;
};

}  // namespace linenpier::gateway
