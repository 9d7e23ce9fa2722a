#pragma once

/** @file
 * What gateways do for each other while one of them cannot reach the store. One that has lost a
 * feed asks a few peers for what is newer than what it acts on: configuration, closed zones,
 * engines and suspect requests. One that cannot write has a peer do it, for rows on which neither a
 * lease nor a leader lock stands. Owns which peers are asked; relies on the feeds, on the leases
 * (which name peers' addresses) and on the seeds of the settings.
 */

#include <functional>
#include <optional>
#include <vector>

#include "common/random.h"
#include "gateway/http/connection_pool.h"
#include "gateway/http/server.h"
#include "gateway/service/closed_zones_monitor.h"
#include "gateway/service/engine_feed.h"
#include "gateway/service/operator_feed.h"
#include "gateway/suspects/suspect_service.h"

namespace linenpier::gateway {

/** Loop thread only. */
class peer_exchange {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    http::ConnectionPool& connections;
    table::AsyncTable& table;
    lease::lease_table& leases;
    operator_feed& operators;
    engine_feed& engines;
    closed_zones_monitor& zones;
    suspects::suspect_service& suspects;
    table::TableWatcher& coordination;
    std::function<std::vector<Address>()> seeds;  ///< Of the settings, without this gateway.
    std::function<bool()> stopping;
  };

  peer_exchange(dependencies deps, std::uint64_t seed) : deps_(std::move(deps)), random_(seed) {}

  /** Begins to ask peers whenever a feed is lost. */
  void start();
  /** Answers a call of a peer. */
  Task<void> handle(http::Request& request, http::ResponseWriter& writer);
  /** Has peers do a write, one after the other. @return nothing if none did. */
  Task<std::optional<table::TransactionAnswer>> writeViaPeer(table::Write write);

 private:
  /** @param target of the call, which says what the asker knows. */
  Task<void> sendSnapshot(const std::string& target, http::ResponseWriter& writer);
  Task<void> handlePeerWrite(http::Request& request, http::ResponseWriter& writer);
  Task<void> fetchLoop();
  Task<void> fetchSnapshot(Address peer);
  void applySnapshot(const PeerSnapshot& snapshot, const Address& peer);
  /** @return gateways that may know what this one misses. */
  std::vector<Address> peerAddresses() const;

  dependencies deps_;
  Random random_;
  std::size_t pending_fetches_ = 0;
};

}  // namespace linenpier::gateway
