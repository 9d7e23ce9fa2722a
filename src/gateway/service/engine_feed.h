#pragma once

/** @file
 * Watches the platform's engine table and applies it to the engine registry. While the store is
 * unavailable, the engines come from the snapshots of peers; for peers, the feed adds the engines
 * to this gateway's snapshots. Closes pooled connections to engines that are removed or restarted.
 */

#include <functional>
#include <optional>
#include <set>

#include "common/success_sampler.h"
#include "gateway/engines/engine_registry.h"
#include "gateway/http/connection_pool.h"
#include "gateway/service/engine_change_log.h"
#include "gateway/service/peer_snapshot.h"
#include "gateway/service/platform_port.h"
#include "gateway/table/table_watcher.h"

namespace linenpier::gateway {

/** Loop thread only. */
class engine_feed {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    PlatformPort& platform;
    engines::engine_registry& registry;
    http::ConnectionPool& connections;  ///< Connections to engines.
    /** Whether this gateway runs batch items or manages engine versions. */
    std::function<bool()> owns_work;
    std::function<void()> on_store_reachable;
  };

  engine_feed(dependencies deps, std::uint64_t seed);

  void start() { this->watcher_.start(); }
  /** @return whether the engine list has been read from the store or a peer. */
  bool loaded() const { return this->loaded_; }
  /** @return the table revision that the registry reflects. */
  Revision revision() const;
  table::TableWatcher& watcher() { return this->watcher_; }
  const table::TableWatcher& watcher() const { return this->watcher_; }

  /** Adds the engines to a snapshot for a peer.
   * @param known the revision that the peer has; 0 if none.
   */
  void fillSnapshot(PeerSnapshot& snapshot, Revision known) const;
  /** Applies the engines of a peer's snapshot. */
  void applySnapshot(const PeerSnapshot& snapshot);
  /** Logs the number of changes since the last call that had no log line of their own. */
  void logUnloggedChanges();

 private:
  static table::TableWatcher::Listener listener(engine_feed& feed);
  static table::WatcherOptions watcherOptions(const engine_feed& feed, std::uint64_t seed);

  void onRow(const table::RowChange& change);
  /** Handles one row of a full read of the table. */
  void onFullReadRow(const table::Row& row);
  /** Handles the end of a full read: engines that were not in it are removed. */
  void onFullReadEnd(Revision revision);
  /** Waits a grace period after a store outage, then removes the engines whose expired entries were
   * not written again.
   */
  Task<void> removeLapsedEngines();
  /** Parses a row. An engine whose row is invalid is taken out of use.
   * @return nothing if the row is invalid.
   */
  std::optional<engines::engine_record> parseRow(const table::Row& row);
  void applyRecord(const engines::engine_record& record, Revision revision);
  /** Handles the removal of an engine's entry.
   * @return the engine's address if it is now out of use.
   */
  std::optional<Address> removeEngine(const EngineId& id);

  dependencies deps_;
  engine_change_log changes_;
  std::set<EngineId> listed_ids_;  ///< Ids seen in the full read in progress.
  std::uint64_t unlogged_changes_ = 0;
  logging::SuccessSampler change_log_sampler_;  ///< Limits the log lines about single engines.
  Revision peer_revision_ = 0;  ///< Engine table revision of the last applied peer snapshot.
  bool loaded_ = false;
  table::TableWatcher watcher_;
};

}  // namespace linenpier::gateway
