#include "gateway/service/peer_exchange.h"

#include <algorithm>

#include "common/event_log.h"
#include "gateway/http/client_exchange.h"
#include "gateway/service/peer_write.h"
#include "gateway/table/store_keys.h"

namespace linenpier::gateway {

using logging::LogEvent;

namespace {

constexpr Duration kFetchInterval = std::chrono::milliseconds(300);
/** Number of peers to fetch state from per interval; enough to reach the work owners and the seed
 * peers within a second, so that a revoked key is disabled in time.
 */
constexpr std::size_t kPeersPerInterval = 3;
constexpr Duration kFetchTimeout = std::chrono::milliseconds(300);
/** Timeout of fetching a full engine list, which is 4 MB for ten thousand engines. This takes half
 * a second over the link of a small machine, and other gateways may be using the link, too.
 */
constexpr Duration kFullFetchTimeout = std::chrono::milliseconds(1500);
constexpr Duration kWriteTimeout = std::chrono::milliseconds(400);
/** Time without an answer after which a feed counts as down even if no call failed, for example
 * because the store rate-limits this gateway. The store answers a working feed within 2.7 s.
 */
constexpr Duration kFeedStaleAfter = std::chrono::milliseconds(2800);
constexpr std::size_t kMaxWriteAttempts = 3;
constexpr char kWritePath[] = "/write";
constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kOutcomeUnknown = 502;
constexpr unsigned kUnavailable = 503;

bool isFresh(const table::TableWatcher& feed) {
  return feed.healthy() && steadyNow() - feed.lastAnswer() < kFeedStaleAfter;
}

/** @return whether this gateway may write the row for a peer. Only usage counters, clock samples
 * and suspect requests qualify, as no lock or lease depends on them.
 */
bool isForwardable(const table::Put& put) {
  return put.key.starts_with(table::kUsageTable + "/" + table::kUsageRowPrefix) ||
         put.key.starts_with(table::kClockTable + "/") ||
         put.key.starts_with(table::suspectKey({}));
}

}  // namespace

void peer_exchange::start() {
  spawn(this->deps_.loop, [this] { return this->fetchLoop(); });
}

Task<void> peer_exchange::handle(http::Request& request, http::ResponseWriter& writer) {
  if (request.target() == kWritePath) {
    co_await this->handlePeerWrite(request, writer);
  } else {
    co_await this->sendSnapshot(std::string(request.target()), writer);
  }
}

Task<void> peer_exchange::handlePeerWrite(http::Request& request, http::ResponseWriter& writer) {
  http::Response response;
  response.result(kUnavailable);
  auto write = decodeWrite(request.body());
  const bool allowed = write && std::all_of(write->transaction.puts.begin(),
                                            write->transaction.puts.end(), isForwardable);
  if (!allowed) {
    response.result(kBadRequest);
  } else if (this->deps_.leases.storeHealthy()) {
    const auto answer = co_await this->deps_.table.write(std::move(*write));
    if (answer) {
      response.result(kOk);
      response.body() = encodeAnswer(*answer);
    } else if (!certainlyNotProcessed(answer.error().failure)) {
      response.result(kOutcomeUnknown);
    }
  }
  LogEvent("gateway", "wrote_for_peer").number("status", response.result_int());
  co_await writer.send(std::move(response));
}

Task<std::optional<table::TransactionAnswer>> peer_exchange::writeViaPeer(table::Write write) {
  std::vector<Address> writers = this->peerAddresses();
  std::shuffle(writers.begin(), writers.end(), this->random_.engine());
  if (writers.size() > kMaxWriteAttempts) writers.resize(kMaxWriteAttempts);
  for (const Address& peer : writers) {
    http::Request request(boost::beast::http::verb::post, kWritePath, 11);
    request.set(boost::beast::http::field::host, "peer");
    request.body() = encodeWrite(write);
    request.prepare_payload();
    const Instant deadline = steadyNow() + kWriteTimeout;
    const http::CallOutcome outcome =
        co_await http::call(this->deps_.connections, peer, std::move(request), deadline);
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

Task<void> peer_exchange::sendSnapshot(const std::string& target, http::ResponseWriter& writer) {
  http::Response response;
  const operator_feed& operators = this->deps_.operator_feed;
  if (operators.configuration() && this->deps_.engine_feed.loaded() &&
      this->deps_.suspects.loaded()) {
    const KnownRevisions known = parseSnapshotTarget(target);
    PeerSnapshot snapshot;
    snapshot.config_version = operators.configurationVersion();
    const bool newer = snapshot.config_version > known.config_version;
    if (newer) snapshot.configuration = operators.configurationWithHashedKeys();
    snapshot.zones_revision = operators.zonesRevision();
    snapshot.closed_zones = this->deps_.zones.closed().all();
    this->deps_.engine_feed.fillSnapshot(snapshot, known.engines_revision);
    snapshot.suspects = this->deps_.suspects.rows();
    response.body() = encodeSnapshot(snapshot);
  } else {
    response.result(kUnavailable);
  }
  co_await writer.send(std::move(response));
}

Task<void> peer_exchange::fetchLoop() {
  std::size_t next = 0;
  for (;;) {
    co_await sleepFor(this->deps_.loop, kFetchInterval);
    const bool all_known = isFresh(this->deps_.operator_feed.watcher()) &&
                           isFresh(this->deps_.engine_feed.watcher()) &&
                           isFresh(this->deps_.coordination) && this->deps_.suspects.loaded();
    if (all_known || this->deps_.stopping()) continue;
    // No fetch starts while another may be fetching a full engine list.
    if (!this->deps_.engine_feed.loaded() && this->pending_fetches_ > 0) continue;
    const std::vector<Address> peers = this->peerAddresses();
    for (std::size_t i = 0; i < std::min(kPeersPerInterval, peers.size()); ++i) {
      const Address peer = peers[next++ % peers.size()];
      spawn(this->deps_.loop, [this, peer] { return this->fetchSnapshot(peer); });
    }
  }
}

std::vector<Address> peer_exchange::peerAddresses() const {
  std::vector<Address> peers = this->deps_.leases.peers();
  for (const Address& seed : this->deps_.seeds()) {
    if (std::find(peers.begin(), peers.end(), seed) == peers.end()) peers.push_back(seed);
  }
  return peers;
}

Task<void> peer_exchange::fetchSnapshot(Address peer) {
  ++this->pending_fetches_;
  const bool engines_known = this->deps_.engine_feed.loaded();
  const KnownRevisions known{this->deps_.operator_feed.configurationVersion(),
                             engines_known ? this->deps_.engine_feed.revision() : 0};
  http::Request request(boost::beast::http::verb::get, snapshotTarget(known), 11);
  request.set(boost::beast::http::field::host, "peer");
  const Instant deadline = steadyNow() + (engines_known ? kFetchTimeout : kFullFetchTimeout);
  const http::CallOutcome outcome =
      co_await http::call(this->deps_.connections, peer, std::move(request), deadline);
  --this->pending_fetches_;
  const bool answered =
      outcome.status == http::ExchangeStatus::kOk && outcome.response.result_int() == kOk;
  if (!answered) co_return;
  const auto snapshot = decodeSnapshot(outcome.response.body());
  if (snapshot) this->applySnapshot(*snapshot, peer);
}

void peer_exchange::applySnapshot(const PeerSnapshot& snapshot, const Address& peer) {
  operator_feed& operators = this->deps_.operator_feed;
  engine_feed& engines = this->deps_.engine_feed;
  const std::uint64_t version_before = operators.configurationVersion();
  // Closed zones are applied first, since requests may be sent as soon as routes and engines are
  // known.
  if (snapshot.zones_revision > operators.zonesRevision()) {
    this->deps_.zones.onSnapshot(snapshot.zones_revision, snapshot.closed_zones, "peer");
  }
  if (!isFresh(this->deps_.coordination)) this->deps_.suspects.onPeerRows(snapshot.suspects);
  if (!snapshot.configuration.empty() && !isFresh(operators.watcher())) {
    operators.onConfiguration(snapshot.configuration);
  }
  const bool engines_newer = snapshot.engines_revision > engines.revision();
  if (!isFresh(engines.watcher()) && (engines_newer || !engines.loaded()))
    engines.applySnapshot(snapshot);
  if (engines_newer || operators.configurationVersion() > version_before) {
    LogEvent("gateway", "told_by_peer")
        .text("peer", toString(peer))
        .number("config", static_cast<std::int64_t>(snapshot.config_version))
        .number("engines_revision", static_cast<std::int64_t>(snapshot.engines_revision));
  }
}

}  // namespace linenpier::gateway
