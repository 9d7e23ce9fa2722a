#pragma once

/// @file
/// The daemon on the users' machines: puts the parts together and directs what comes in to them.

#include <memory>

#include "common/random.h"
#include "common/success_sampler.h"
#include "gateway/batch/batch_service.h"
#include "gateway/fleet/zone_closings.h"
#include "gateway/forward/forwarder.h"
#include "gateway/lease/lease_watch.h"
#include "gateway/metrics/gateway_metrics.h"
#include "gateway/scaling/scaling_service.h"
#include "gateway/service/engine_changes.h"
#include "gateway/service/gateway_settings.h"
#include "gateway/service/owner_demand.h"
#include "gateway/service/peer_snapshot.h"
#include "gateway/service/platform_port.h"
#include "gateway/suspects/suspect_service.h"
#include "gateway/table/table_watcher.h"
#include "gateway/usage/usage_service.h"

namespace linenpier::gateway {

/// Lines a second about engines that leave. A release of a large fleet tells every daemon of a
/// hundred of them each second: those beyond are sampled and counted.
inline constexpr std::uint32_t kEngineLinesPerSecond = 10;
inline constexpr std::uint32_t kThenOneLineIn = 20;

/// Loop thread only.
class Gateway {
 public:
  /// @param engine_pool connections to engines.
  Gateway(boost::asio::io_context& loop, const GatewaySettings& settings, PlatformPort& platform,
          http::ConnectionPool& engine_pool, metrics::GatewayMetrics& metrics, std::uint64_t seed);

  /// Listens and begins to follow the store. @return what is wrong, if anything.
  Findings start();
  /// Takes over what may change while the daemon runs; the rest needs a restart and is logged.
  void applySettings(const GatewaySettings& changed);
  /// Begins a planned stop; the loop ends when it is over.
  void stop();

  bool ready() const;
  bool stopping() const { return stopping_; }
  /// @return whether the store's leases and the feed of jobs and rights answer.
  bool followsStore() const { return leases_.storeHealthy(); }
  Address requestAddress() const { return requests_.address(); }
  Address peerAddress() const { return peer_server_.address(); }
  Address metricsAddress() const { return metrics_server_.address(); }
  Address readinessAddress() const { return readiness_.address(); }

 private:
  Task<void> handle(http::Request& request, Instant received, http::ResponseWriter& writer);
  Task<void> handleBatchCall(const BatchCall& call, const tenants::caller& from,
                             http::ResponseWriter& writer);
  /// Turns a request away whose key is missing or not known.
  Task<void> refuseKey(const tenants::caller& from, const std::string& id,
                       http::ResponseWriter& writer);
  /// @return whether this daemon follows the operator's changes, so that it may say that something
  ///     does not exist.
  bool followsOperator() const { return routes_ && operator_watcher_->healthy(); }
  Task<void> handleReadiness(http::Request& request, http::ResponseWriter& writer);
  Task<void> handlePeer(http::Request& request, http::ResponseWriter& writer);
  /// @param target of the call, which says what the asker knows.
  Task<void> tellSnapshot(const std::string& target, http::ResponseWriter& writer);
  void tellEngines(Revision known, PeerSnapshot& told) const;
  void takeEngines(const PeerSnapshot& told);
  /// @return how much of the engine table this daemon knows, from the store or a peer.
  Revision enginesRevision() const;
  /// Does a write for a daemon that does not reach the store.
  Task<void> writeForPeer(http::Request& request, http::ResponseWriter& writer);
  /// Lets other daemons do a write, one after the other. @return nothing if none did.
  Task<std::optional<table::TransactionAnswer>> writeByPeer(table::Write write);
  /// Asks other daemons while the store does not answer.
  Task<void> peerLoop();
  Task<void> askPeer(Address peer);
  Task<void> countAsk(Address peer);
  /// @return daemons that may know what this one misses.
  std::vector<Address> knownPeers() const;
  Task<void> handleMetrics(http::ResponseWriter& writer);
  metrics::GatewayState state() const;
  /// How many engines there are and were ordered.
  void addEngineNumbers(metrics::GatewayState& state) const;
  Task<void> stopInOrder();
  Task<void> sweepLoop();
  /// @return how many requests the engine has, by its own account; nothing if it did not answer.
  Task<std::optional<std::uint32_t>> loadOf(EngineId engine, Address address);
  void watchTables();
  /// While the store does not answer: asks it again and again, several questions at a time, so that
  /// its return is noticed at once.
  Task<void> probeLoop();
  Task<void> probeStore();
  /// Takeovers need both the leases and the feed of what is owned.
  void updateLeaseHealth();
  /// The store has answered after a while: every feed that waits asks it again.
  void onStoreHeard(Duration usual_answer);
  void onOperatorRow(const table::Row& row);
  /// The closed zones as the whole table of the operator has them.
  /// @param source "store" or "peer", for the log.
  void onZoneTable(Revision revision, const std::map<ZoneName, Revision>& closed,
                   const char* source);
  void onZoneRow(const ZoneName& zone, const table::RowChange& change);
  void actOnZones(const fleet::zone_changes& changes, const char* source);
  /// @return how much of the operator's table the closed zones are as of.
  Revision zonesRevision() const;
  std::size_t enginesIn(const ZoneName& zone) const;
  void onEngineRow(const table::RowChange& change);
  /// Forgets, a moment after an outage of the store, engines whose entries did not come back.
  Task<void> dropLapsedEngines();
  /// Writes how many changes of engines were left out of the log.
  void summarizeEngineUpdates();
  /// Tells the budget of cold engines which daemons may send to them.
  void updateColdSenders();
  /// Logs which engines turned cold or warm, and what they were refused.
  void tendColdEngines();
  void logColdRefusals(std::vector<engines::cold_refusals> refusals);
  void addColdState(Instant now, metrics::GatewayState& state) const;
  void addSuspects(Instant now, metrics::GatewayState& state) const;
  /// @return whether this daemon owns jobs or the right to order engines, or offers to.
  bool ownsWork() const;
  /// The leases were read, or could not be.
  void onLeasesRead(bool answered);
  /// A row of the whole table of engines, and its end.
  void onEngineListed(const table::Row& row);
  void onEnginesListed(Revision revision);
  /// @return nothing if the row names no engine; one that stood there is out of use then.
  std::optional<engines::EngineRecord> readEngine(const table::Row& row);
  void noteEngine(const engines::EngineRecord& record, Revision revision);
  /// The engine's entry went. @return its address, if it is out of use now.
  std::optional<Address> dropEngine(const EngineId& id);
  void onCoordinationRow(const table::RowChange& change);
  /// The table of jobs, rights and suspects was read whole.
  void onCoordinationRead(const std::vector<table::Row>& rows);
  void onConfiguration(const std::string& value);

  boost::asio::io_context& loop_;
  GatewaySettings settings_;
  PlatformPort& platform_;
  http::ConnectionPool& engine_pool_;
  metrics::GatewayMetrics& metrics_;
  engines::EngineRegistry registry_;
  fleet::zone_closings closings_;
  routing::RouteTablePtr routes_;  ///< The newest seen in this life; empty before the first.
  lease::pool_demand demand_ = demandWithoutModels();  ///< Of daemons that offer to own work.
  routing::weighted_round_robin round_robin_;
  lease::LeaseTable leases_;
  lease::OwnerPool owner_pool_;
  lease::LeaseKeeper keeper_;
  lease::lease_watch lease_watch_;
  bool leases_answered_ = false;  ///< Whether the last read of the leases was answered.
  batch::job_store job_store_;
  usage::usage_service usage_;
  suspects::suspect_service suspects_;
  forward::Forwarder forwarder_;
  batch::batch_service batches_;
  versions::OrderService orders_;
  scaling::scaling_service scaling_;
  http::Server requests_;
  http::Server readiness_;
  http::Server metrics_server_;
  http::Server peer_server_;
  /// What this daemon acts on, as rows, to be told to others; without the engines.
  PeerSnapshot snapshot_;
  engine_changes engine_changes_;
  std::set<EngineId> listed_engines_;  ///< Of the read of the whole table that is under way.
  std::uint64_t engine_updates_ = 0;   ///< Changes that no line was written about.
  logging::SuccessSampler engine_lines_{kEngineLinesPerSecond, kThenOneLineIn};
  std::unique_ptr<table::TableWatcher> operator_watcher_;
  std::unique_ptr<table::TableWatcher> engine_watcher_;
  std::unique_ptr<table::TableWatcher> coordination_watcher_;
  std::size_t peers_asked_ = 0;  ///< Calls for what peers know that are under way.
  bool engines_known_ = false;   ///< Whether the engines were read, from the store or a peer.
  Random random_;
  bool stopping_ = false;
};

}  // namespace linenpier::gateway
