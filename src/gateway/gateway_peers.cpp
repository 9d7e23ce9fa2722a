/// @file
/// What daemons tell each other while one of them cannot reach the store.

#include <algorithm>

#include "gateway/gateway.h"
#include "gateway/peer_write.h"
#include "gateway/store_keys.h"
#include "logging/event_log.h"

namespace linenpier::gateway {

using logging::LogEvent;

namespace {

constexpr Duration kPeerPeriod = std::chrono::milliseconds(300);
/// That are asked in one period: all of a usual pool of owners and the seeds within a second, of
/// the few that a change of keys may take.
constexpr std::size_t kPeersAtOnce = 3;
constexpr Duration kPeerCallTime = std::chrono::milliseconds(300);
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
  return put.key.starts_with(kUsageTable + "/" + kUsageRows) ||
         put.key.starts_with(kClockTable + "/") || put.key.starts_with(suspectKey({}));
}

}  // namespace

Task<void> Gateway::handlePeer(http::Request& request, http::ResponseWriter& writer) {
  if (request.target() == kWritePath) {
    co_await writeForPeer(request, writer);
  } else {
    co_await tellSnapshot(writer);
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

Task<void> Gateway::tellSnapshot(http::ResponseWriter& writer) {
  http::Response response;
  if (routes_ && engines_known_ && suspects_.known()) {
    snapshot_.engines_revision = std::max(snapshot_.engines_revision, engine_watcher_->revision());
    PeerSnapshot told = snapshot_;
    told.zones_revision = zonesRevision();
    told.closed_zones = closings_.zones().all();
    for (const auto& [key, row] : engine_rows_) told.engines.push_back(row);
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
    for (std::size_t i = 0; i < std::min(kPeersAtOnce, peers.size()); ++i) {
      const Address peer = peers[next++ % peers.size()];
      spawn(loop_, [this, peer] { return askPeer(peer); });
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

Task<void> Gateway::askPeer(Address peer) {
  http::Request request(boost::beast::http::verb::get, "/snapshot", 11);
  request.set(boost::beast::http::field::host, "peer");
  const Instant deadline = steadyNow() + kPeerCallTime;
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
  if (!tells(*coordination_watcher_)) suspects_.onTold(told->suspects);
  if (!tells(*operator_watcher_)) onConfiguration(told->configuration);
  const bool newer =
      told->engines_revision > std::max(snapshot_.engines_revision, engine_watcher_->revision());
  if (!tells(*engine_watcher_) && (newer || !engines_known_)) {
    onEngineSnapshot(told->engines);
    snapshot_.engines_revision = told->engines_revision;
  }
  if (newer || snapshot_.config_version > before) {
    LogEvent("gateway", "told_by_peer")
        .text("peer", toString(peer))
        .number("config", static_cast<std::int64_t>(told->config_version))
        .number("engines_revision", static_cast<std::int64_t>(told->engines_revision));
  }
}

}  // namespace linenpier::gateway
