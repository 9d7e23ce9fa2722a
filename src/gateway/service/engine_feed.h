#pragma once

/** @file
 * Watches the platform's engine table and applies its rows to the engine registry. While the store
 * is unavailable, the engines come from the snapshots of peers. The feed also adds the engines to
 * the snapshots that this gateway sends to peers, and closes pooled connections to engines that are
 * removed or restarted.
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

/** Used only on the event loop thread. */
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
  /** @return the engine table revision that the engine registry reflects. */
  Revision revision() const;
  table::TableWatcher& watcher() { return this->watcher_; }
  const table::TableWatcher& watcher() const { return this->watcher_; }

  /** Adds the engines to a snapshot for a peer.
   * @param known engine table revision that the peer already has; 0 if it has none.
   */
  void fillSnapshot(PeerSnapshot& snapshot, Revision known) const;
  /** Applies the engines of a peer's snapshot. */
  void applySnapshot(const PeerSnapshot& snapshot);
  /** Logs the number of engine changes since the last call that were not logged individually. */
  void logUnloggedChanges();

 private:
  static table::TableWatcher::Listener listener(engine_feed& feed);
  static table::WatcherOptions watcherOptions(const engine_feed& feed, std::uint64_t seed);

  void onRow(const table::RowChange& change);
  /** Handles one row of a full read of the engine table. */
  void onFullReadRow(const table::Row& row);
  /** Handles the end of a full read of the engine table: removes the engines that had no row. */
  void onFullReadEnd(Revision revision);
  /** Waits a grace period after a store outage, then removes the engines whose expired entries were
   * not written again.
   */
  Task<void> removeLapsedEngines();
  /** Parses a row of the engine table. An engine whose row is invalid is taken out of use.
   * @return the engine, or nothing if the row is invalid.
   */
  std::optional<engines::engine_record> parseRow(const table::Row& row);
  void applyRecord(const engines::engine_record& record, Revision revision);
  /** Handles the removal of an engine's entry.
   * @return the engine's address if the engine is now out of use.
   */
  std::optional<Address> removeEngine(const EngineId& id);

  dependencies deps_;
  engine_change_log changes_;
  /// Ids of the engines seen so far in the current full read of the table.
  std::set<EngineId> listed_ids_;
  std::uint64_t unlogged_changes_ = 0;
  /// Limits the rate of log lines about single engines.
  logging::SuccessSampler change_log_sampler_;
  Revision peer_revision_ = 0;  ///< Engine table revision of the last applied peer snapshot.
  bool loaded_ = false;
  table::TableWatcher watcher_;
};

}  // namespace linenpier::gateway
