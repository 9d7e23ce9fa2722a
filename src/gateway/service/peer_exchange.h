#pragma once

/** @file
 * Exchange of state between gateways during a store outage. A gateway whose feeds are down fetches
 * newer state (configuration, closed zones, engines and suspect requests) from a few peers. A
 * gateway that cannot write to the store asks a peer to write rows that no lease or leader lock
 * depends on.
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

/** Used only on the event loop thread. */
class peer_exchange {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    http::ConnectionPool& connections;
    table::AsyncTable& table;
    lease::lease_table& leases;
    gateway::operator_feed& operator_feed;
    gateway::engine_feed& engine_feed;
    closed_zones_monitor& zones;
    suspects::suspect_service& suspects;
    table::TableWatcher& coordination;
    /// Addresses of the seed peers, except that of this gateway.
    std::function<std::vector<Address>()> seeds;
    std::function<bool()> stopping;
  };

  peer_exchange(dependencies deps, std::uint64_t seed) : deps_(std::move(deps)), random_(seed) {}

  /** Starts the loop that fetches state from peers while a feed is down. */
  void start();
  /** Handles a request from a peer. */
  Task<void> handle(http::Request& request, http::ResponseWriter& writer);
  /** Tries peers in turn until one performs the write.
   * @return the answer to the write, or nothing if no peer performed it.
   */
  Task<std::optional<table::TransactionAnswer>> writeViaPeer(table::Write write);

 private:
  /** @param target request target with the revisions that the peer already has. */
  Task<void> sendSnapshot(const std::string& target, http::ResponseWriter& writer);
  Task<void> handlePeerWrite(http::Request& request, http::ResponseWriter& writer);
  Task<void> fetchLoop();
  Task<void> fetchSnapshot(Address peer);
  void applySnapshot(const PeerSnapshot& snapshot, const Address& peer);
  /** @return the addresses of the peers in the lease table and in the seed list. */
  std::vector<Address> peerAddresses() const;

  dependencies deps_;
  Random random_;
  std::size_t pending_fetches_ = 0;
};

}  // namespace linenpier::gateway
