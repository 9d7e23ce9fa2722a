/// @file
/// What daemons tell each other while one of them cannot reach the store.

#include <algorithm>

#include "common/event_log.h"
#include "gateway/service/gateway.h"
#include "gateway/service/peer_write.h"
#include "gateway/table/store_keys.h"

namespace linenpier::gateway {

using logging::LogEvent;

namespace {

constexpr Duration kPeerPeriod = std::chrono::milliseconds(300);
/// That are asked in one period: all of a usual pool of owners and the seeds within a second, of
/// the few that a change of keys may take.
constexpr std::size_t kPeersAtOnce = 3;
constexpr Duration kPeerCallTime = std::chrono::milliseconds(300);
/// The same for one that tells a list of all engines, as to a daemon that has just started: 4 MB
/// for ten thousand, half a second over the link of a small machine that others ask, too.
constexpr Duration kPeerListTime = std::chrono::milliseconds(1500);
constexpr Duration kPeerWriteTime = std::chrono::milliseconds(400);
/// After which a feed tells nothing, whatever it counts as: one that works answers within 2.7 s. A
/// store that limits a daemon's calls refuses them without being away.
constexpr Duration kFeedSilence = std::chrono::milliseconds(2800);
constexpr std::size_t kWriterPeers = 3;  ///< That are asked to do one write.
constexpr char kWritePath[] = "/write";
constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnavailable = 503;

bool tells(const table::TableWatcher& feed) {
  return feed.healthy() && steadyNow() - feed.lastAnswer() < kFeedSilence;
}

/// Counts, clocks and suspects only: nothing that a right or a lease stands on.
bool maybeWrittenForPeers(const table::Put& put) {
  return put.key.starts_with(table::kUsageTable + "/" + table::kUsageRows) ||
         put.key.starts_with(table::kClockTable + "/") ||
         put.key.starts_with(table::suspectKey({}));
}

}  // namespace

Task<void> Gateway::handlePeer(http::Request& request, http::ResponseWriter& writer) {
  if (request.target() == kWritePath) {
    co_await writeForPeer(request, writer);
  } else {
    co_await tellSnapshot(std::string(request.target()), writer);
  }
}

Task<void> Gateway::writeForPeer(http::Request& request, http::ResponseWriter& writer) {
  http::Response response;
  response.result(kUnavailable);
  auto write = decodeWrite(request.body());
  const bool allowed = write && std::all_of(write->transaction.puts.begin(),
                                            write->transaction.puts.end(), maybeWrittenForPeers);
  if (!allowed) {
    response.result(kBadRequest);
  } else if (leases_.storeHealthy()) {
    const auto answer = co_await platform_.table().write(std::move(*write));
    if (answer) {
      response.result(kOk);
      response.body() = encodeAnswer(*answer);
    }
  }
  LogEvent("gateway", "wrote_for_peer").number("status", response.result_int());
  co_await writer.send(std::move(response));
}

Task<std::optional<table::TransactionAnswer>> Gateway::writeByPeer(table::Write write) {
  std::vector<Address> peers = knownPeers();
  std::shuffle(peers.begin(), peers.end(), random_.engine());
  if (peers.size() > kWriterPeers) peers.resize(kWriterPeers);
  for (const Address& peer : peers) {
    http::Request request(boost::beast::http::verb::post, kWritePath, 11);
    request.set(boost::beast::http::field::host, "peer");
    request.body() = encodeWrite(write);
    request.prepare_payload();
    const Instant deadline = steadyNow() + kPeerWriteTime;
    const http::CallOutcome outcome =
        co_await http::call(engine_pool_, peer, std::move(request), deadline);
    const bool done =
        outcome.status == http::ExchangeStatus::kOk && outcome.response.result_int() == kOk;
    if (!done) continue;
    auto answer = decodeAnswer(outcome.response.body());
    if (answer) {
      LogEvent("gateway", "written_by_peer").text("peer", toString(peer));
      co_return answer;
    }
  }
  co_return std::nullopt;
}

Revision Gateway::enginesRevision() const {
  return std::max(snapshot_.engines_revision, engine_watcher_->revision());
}

void Gateway::tellEngines(Revision known, PeerSnapshot& told) const {
  told.engines_revision = enginesRevision();
  const auto toRow = [&](const engines::EngineRecord& record) {
    return table::Row{platform_.engineTable() + "/" + record.id.str(), told.engines_revision,
                      platform_.encodeEngine(record)};
  };
  const auto changed = engine_changes_.since(known);
  if (!changed) {
    for (const auto& [id, engine] : registry_.all()) {
      if (!engine.lapsed) told.engines.push_back(toRow(engine.record));
    }
    return;
  }
  told.engines_since = known;
  for (const EngineId& id : *changed) {
    const engines::EngineState* engine = registry_.find(id);
    if (engine == nullptr || engine->lapsed) {
      told.engines_gone.push_back(id.str());
    } else {
      told.engines.push_back(toRow(engine->record));
    }
  }
}

Task<void> Gateway::tellSnapshot(const std::string& target, http::ResponseWriter& writer) {
  http::Response response;
  if (routes_ && engines_known_ && suspects_.known()) {
    const KnownByAsker known = knownByAsker(target);
    PeerSnapshot told;
    told.config_version = snapshot_.config_version;
    const bool newer = snapshot_.config_version > known.config_version;
    if (newer) told.configuration = snapshot_.configuration;
    told.zones_revision = zonesRevision();
    told.closed_zones = closings_.zones().all();
    tellEngines(known.engines_revision, told);
    told.suspects = suspects_.rows();
    response.body() = encodeSnapshot(told);
  } else {
    response.result(kUnavailable);
  }
  co_await writer.send(std::move(response));
}

Task<void> Gateway::peerLoop() {
  std::size_t next = 0;
  for (;;) {
    co_await sleepFor(loop_, kPeerPeriod);
    const bool store_away = !tells(*operator_watcher_) || !tells(*engine_watcher_) ||
                            !tells(*coordination_watcher_) || !suspects_.known();
    if (!store_away || stopping_) continue;
    const std::vector<Address> peers = knownPeers();
    // Lists of all engines that are under way are not asked for again.
    if (!engines_known_ && peers_asked_ > 0) continue;
    for (std::size_t i = 0; i < std::min(kPeersAtOnce, peers.size()); ++i) {
      const Address peer = peers[next++ % peers.size()];
      spawn(loop_, [this, peer] { return countAsk(peer); });
    }
  }
}

std::vector<Address> Gateway::knownPeers() const {
  std::vector<Address> peers = leases_.peers();
  for (const Address& seed : settings_.seeds) {
    const bool own = settings_.peers && seed == *settings_.peers;
    if (!own && std::find(peers.begin(), peers.end(), seed) == peers.end()) peers.push_back(seed);
  }
  return peers;
}

void Gateway::takeEngines(const PeerSnapshot& told) {
  if (told.engines_since && *told.engines_since > enginesRevision()) return;
  if (!told.engines_since) listed_engines_.clear();
  for (const table::Row& row : told.engines) {
    onEngineListed(row);
    engine_changes_.onChange(EngineId(table::keyWithoutTable(row)), told.engines_revision);
  }
  if (!told.engines_since) {
    onEnginesListed(told.engines_revision);
  } else {
    for (const std::string& id : told.engines_gone) {
      engine_changes_.onChange(EngineId(id), told.engines_revision);
      dropEngine(EngineId(id));
    }
    listed_engines_.clear();
  }
  snapshot_.engines_revision = told.engines_revision;
}

Task<void> Gateway::countAsk(Address peer) {
  ++peers_asked_;
  co_await askPeer(peer);
  --peers_asked_;
}

Task<void> Gateway::askPeer(Address peer) {
  const KnownByAsker known{snapshot_.config_version, engines_known_ ? enginesRevision() : 0};
  http::Request request(boost::beast::http::verb::get, snapshotTarget(known), 11);
  request.set(boost::beast::http::field::host, "peer");
  const Instant deadline = steadyNow() + (engines_known_ ? kPeerCallTime : kPeerListTime);
  const http::CallOutcome outcome =
      co_await http::call(engine_pool_, peer, std::move(request), deadline);
  if (outcome.status != http::ExchangeStatus::kOk || outcome.response.result_int() != 200)
    co_return;
  const auto told = decodeSnapshot(outcome.response.body());
  if (!told) co_return;
  const std::uint64_t before = snapshot_.config_version;
  // Zones first: whoever has routes and engines may be sent requests.
  const bool zones_newer = told->zones_revision > zonesRevision();
  if (zones_newer) onZoneTable(told->zones_revision, told->closed_zones, "peer");
  if (!tells(*coordination_watcher_)) suspects_.onPeerRows(told->suspects);
  const bool config_told = !told->configuration.empty();
  if (config_told && !tells(*operator_watcher_)) onConfiguration(told->configuration);
  const bool newer = told->engines_revision > enginesRevision();
  if (!tells(*engine_watcher_) && (newer || !engines_known_)) takeEngines(*told);
  if (newer || snapshot_.config_version > before) {
    LogEvent("gateway", "told_by_peer")
        .text("peer", toString(peer))
        .number("config", static_cast<std::int64_t>(told->config_version))
        .number("engines_revision", static_cast<std::int64_t>(told->engines_revision));
  }
}

}  // namespace linenpier::gateway
