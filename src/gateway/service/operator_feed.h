#pragma once

/** @file
 * Watches the operator's table: the configuration, the published weight versions and the closed
 * zones. While the store is unavailable, configuration and closed zones come from a peer.
 */

#include <functional>
#include <string>

#include "gateway/service/closed_zones_monitor.h"
#include "gateway/service/platform_port.h"
#include "gateway/table/table_watcher.h"

namespace linenpier::gateway {

/** Used only on the event loop thread.
 *
 * Invariant: the configuration version never decreases during the life of the process, whether a
 * configuration comes from the store or from a peer.
 */
class operator_feed {
 public:
  struct listener {
    std::function<void(const routing::Configuration&)> on_configuration;
    std::function<void(const PublishedVersion&)> on_published_version;
    std::function<void()> on_store_reachable;
  };

  operator_feed(boost::asio::io_context& loop, PlatformPort& platform, closed_zones_monitor& zones,
                listener listener, std::uint64_t seed);

  void start() { this->watcher_.start(); }
  /** @return the current configuration; null until the first configuration is loaded. */
  const routing::ConfigurationPtr& configuration() const { return this->configuration_; }
  /** @return the version of the current configuration; 0 until the first configuration is loaded.
   */
  std::uint64_t configurationVersion() const {
    return this->configuration_ ? this->configuration_->version : 0;
  }
  /** @return the text of the current configuration, with API keys replaced by their digests. */
  const std::string& configurationWithHashedKeys() const {
    return this->configuration_with_hashed_keys_;
  }
  /** @return whether the operator table is being watched successfully, so that an unknown route or
   *     key can be reported as nonexistent.
   */
  bool authoritative() const { return this->configuration_ && this->watcher_.healthy(); }
  /** @return the operator table revision that the closed zones reflect. */
  Revision zonesRevision() const;
  table::TableWatcher& watcher() { return this->watcher_; }
  const table::TableWatcher& watcher() const { return this->watcher_; }

  /** Applies a configuration if its version is newer than that of the current configuration. */
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
  routing::ConfigurationPtr configuration_;
  std::string configuration_with_hashed_keys_;
  table::TableWatcher watcher_;
};

}  // namespace linenpier::gateway
