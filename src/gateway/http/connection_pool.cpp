#include "gateway/http/connection_pool.h"

#include <sys/socket.h>

#include <algorithm>

namespace linenpier::http {

namespace asio = boost::asio;

namespace {

/// @return whether the connection is open and has no pending input.
bool isUsable(ClientConnection& connection) {
  char byte = 0;
  const int descriptor = connection.stream.socket().native_handle();
  const ssize_t received = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

ClientConnectionPtr ConnectionPool::acquireIdle(Instant now, const Address& peer) {
  const auto at = idle_.find(peer);
  if (at == idle_.end()) return nullptr;
  while (!at->second.empty()) {
    ClientConnectionPtr connection = std::move(at->second.back());
    at->second.pop_back();
    if (now < connection->usable_until && isUsable(*connection)) return connection;
  }
  idle_.erase(at);
  return nullptr;
}

Task<boost::system::error_code> ConnectionPool::open(ClientConnectionPtr connection,
                                                     Instant deadline) {
  connection->expireAt(deadline);
  const Address peer = connection->peer;
  const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4(peer.ip), peer.port);
  boost::system::error_code error;
  ++opened_;
  co_await connection->stream.async_connect(endpoint,
                                            asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return error;
  boost::system::error_code ignored;
  connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  co_return error;
}

Task<ClientConnectionPtr> ConnectionPool::connect(Address peer, Instant deadline) {
  auto connection =
      std::make_shared<ClientConnection>(loop_, options_.responses.max_unparsed_bytes);
  connection->peer = peer;
  const boost::system::error_code error = co_await open(connection, deadline);
  if (error) co_return nullptr;
  co_return connection;
}

Task<PeerState> ConnectionPool::probe(Address peer, Instant deadline) {
  const auto known = probes_.find(peer);
  if (known != probes_.end()) {
    const std::shared_ptr<Probe> shared = known->second;
    while (!shared->state && steadyNow() < deadline) {
      co_await shared->done.waitFor(deadline - steadyNow());
    }
    co_return shared->state.value_or(PeerState::kUnresponsive);
  }
  const auto own = std::make_shared<Probe>(loop_);
  probes_[peer] = own;
  const PeerState state = co_await openProbe(peer, deadline);
  own->state = state;
  probes_.erase(peer);
  own->done.notifyAll();
  co_return state;
}

Task<PeerState> ConnectionPool::openProbe(Address peer, Instant deadline) {
  auto connection =
      std::make_shared<ClientConnection>(loop_, options_.responses.max_unparsed_bytes);
  connection->peer = peer;
  const boost::system::error_code error = co_await open(connection, deadline);
  if (error == asio::error::connection_refused) co_return PeerState::kRefusing;
  if (error) co_return PeerState::kUnresponsive;
  release(steadyNow(), connection, options_.idle_timeout);
  co_return PeerState::kAccepting;
}

void ConnectionPool::release(Instant now, ClientConnectionPtr connection, Duration idle_timeout) {
  connection->usable_until = now + idle_timeout;
  connection->reused = true;
  connection->stream.expires_never();
  auto& idle = idle_[connection->peer];
  if (idle.size() < options_.max_idle_per_peer) idle.push_back(std::move(connection));
}

void ConnectionPool::sweep(Instant now) {
  for (auto at = idle_.begin(); at != idle_.end();) {
    std::erase_if(at->second,
                  [now](const ClientConnectionPtr& each) { return now >= each->usable_until; });
    at = at->second.empty() ? idle_.erase(at) : std::next(at);
  }
}

}  // namespace linenpier::http
