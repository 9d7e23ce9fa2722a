/// @file
/// What daemons tell each other while one of them cannot reach the store.

#include "gateway/gateway.h"
#include "logging/event_log.h"

namespace linenpier::gateway {

using logging::LogEvent;

namespace {

constexpr Duration kPeerPeriod = std::chrono::milliseconds(300);
constexpr Duration kPeerCallTime = std::chrono::milliseconds(300);
constexpr unsigned kUnavailable = 503;

}  // namespace

Task<void> Gateway::handlePeer(http::ResponseWriter& writer) {
  http::Response response;
  if (routes_ && engines_known_) {
    snapshot_.engines_revision = std::max(snapshot_.engines_revision, engine_watcher_->revision());
    PeerSnapshot told = snapshot_;
    for (const auto& [key, row] : engine_rows_) told.engines.push_back(row);
    response.body() = encodeSnapshot(told);
  } else {
    response.result(kUnavailable);
  }
  co_await writer.send(std::move(response));
}

Task<void> Gateway::peerLoop() {
  std::size_t next = 0;
  while (!settings_.seeds.empty()) {
    co_await sleepFor(loop_, kPeerPeriod);
    const bool store_away = !operator_watcher_->healthy() || !engine_watcher_->healthy();
    if (!store_away || stopping_) continue;
    const Address peer = settings_.seeds[next++ % settings_.seeds.size()];
    if (settings_.peers && peer == *settings_.peers) continue;
    co_await askPeer(peer);
  }
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
  if (!operator_watcher_->healthy()) onConfiguration(told->configuration);
  const bool newer =
      told->engines_revision > std::max(snapshot_.engines_revision, engine_watcher_->revision());
  if (!engine_watcher_->healthy() && (newer || !engines_known_)) {
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
