#pragma once

/** @file
 * Follows the platform's table of engines and keeps the registry of engines as the table has it.
 * While the store is away the same rows come from peers, and peers are told from here. Owns the
 * feed of the table, and which entries changed lately; relies on the platform for the form of the
 * rows, on the registry, and on the pool of connections, which forgets engines that are gone.
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
    http::ConnectionPool& connections;  ///< To engines.
    std::function<bool()> owns_work;    ///< Whether this gateway runs items or orders engines.
    std::function<void()> on_store_reachable;
  };

  engine_feed(dependencies deps, std::uint64_t seed);

  void start() { this->watcher_.start(); }
  /** @return whether the engines were read, from the store or from a peer. */
  bool loaded() const { return this->loaded_; }
  /** @return the revision of the table up to which this gateway knows the engines. */
  Revision revision() const;
  table::TableWatcher& watcher() { return this->watcher_; }
  const table::TableWatcher& watcher() const { return this->watcher_; }

  /** Adds the engines to a snapshot for a peer.
   * @param known the revision that the peer has; 0: none.
   */
  void fillSnapshot(PeerSnapshot& snapshot, Revision known) const;
  /** Takes over what a peer knows. */
  void applySnapshot(const PeerSnapshot& snapshot);
  /** Logs how many changes went without a line of their own since the last call. */
  void logSummary();

 private:
  static table::TableWatcher::Listener listener(engine_feed& feed);
  static table::WatcherOptions watcherOptions(const engine_feed& feed, std::uint64_t seed);

  void onRow(const table::RowChange& change);
  /** A row of the whole table, and its end. */
  void onFullReadRow(const table::Row& row);
  void onFullReadEnd(Revision revision);
  /** Entries may have expired with the store away: forgets, a moment after the store's return, the
   * engines whose entries did not come back.
   */
  Task<void> removeLapsedEngines();
  /** @return nothing if the row names no engine; an engine known under its key is dropped then. */
  std::optional<engines::engine_record> parseRow(const table::Row& row);
  void applyRecord(const engines::engine_record& record, Revision revision);
  /** The engine's entry was removed. @return its address, if it is out of use now. */
  std::optional<Address> removeEngine(const EngineId& id);

  dependencies deps_;
  engine_change_log changes_;
  std::set<EngineId> listed_ids_;  ///< Of the read of the whole table that is under way.
  std::uint64_t unlogged_changes_ = 0;
  logging::SuccessSampler log_sampler_;
  Revision peer_revision_ = 0;  ///< Of the newest that a peer told.
  bool loaded_ = false;
  table::TableWatcher watcher_;
};

}  // namespace linenpier::gateway
