#pragma once

/// @file
/// Pool of keep-alive connections to engines and to the platform.

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "common/address.h"
#include "common/task.h"
#include "gateway/http/body_budget.h"
#include "gateway/http/http_types.h"
#include "gateway/http/response_limits.h"

namespace linenpier::http {

/// One outgoing connection; closed by its destructor.
struct ClientConnection {
  ClientConnection(boost::asio::io_context& loop, std::size_t max_unparsed_bytes)
      : stream(loop), buffer(max_unparsed_bytes) {}

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;  ///< Bytes received but not yet parsed; of limited size.
  Address peer;
  Instant usable_until{};  ///< Time at which the idle timeout ends.
  bool reused = false;     ///< Whether the connection was in the pool before.

  /// Sets the deadline of reads and writes. The stream's timer uses the steady clock.
  void expireAt(Instant deadline) { stream.expires_after(deadline - steadyNow()); }
};

using ClientConnectionPtr = std::shared_ptr<ClientConnection>;

/// Result of connecting to a peer.
enum class PeerState {
  kAccepting,
  kRefusing,      ///< Connection refused: the host is up, no process is listening.
  kUnresponsive,  ///< No response: the host is down, unreachable or hanging.
};

struct ConnectionPoolOptions {
  std::size_t max_idle_per_peer = 32;
  /// Idle timeout of a connection if the peer sends no Keep-Alive timeout.
  Duration idle_timeout = std::chrono::seconds(4);
  ResponseLimits responses;
};

/// Pool of idle connections by peer; to be used on the event loop thread only.
class ConnectionPool {
 public:
  ConnectionPool(boost::asio::io_context& loop, ConnectionPoolOptions options)
      : loop_(loop), options_(options), budget_(options.responses.max_total_bytes) {}

  /// @return an idle connection without pending input, or nullptr.
  ClientConnectionPtr acquireIdle(Instant now, const Address& peer);
  /// Opens a connection. @return nullptr on failure.
  Task<ClientConnectionPtr> connect(Address peer, Instant deadline);
  /// Tests whether the peer accepts connections; a new connection is kept in the pool. Concurrent
  /// probes of one peer share a connection: an engine that loads weights resets all connections,
  /// and all requests on them probe the engine at the same time.
  Task<PeerState> probe(Address peer, Instant deadline);
  /// Adds a connection that has no exchange in progress to the pool.
  void release(Instant now, ClientConnectionPtr connection, Duration idle_timeout);
  /// Closes the idle connections to a peer.
  void closeIdle(const Address& peer) { idle_.erase(peer); }
  /// Closes connections whose idle timeout has passed.
  void sweep(Instant now);

  Duration defaultIdleTimeout() const { return options_.idle_timeout; }
  const ResponseLimits& responseLimits() const { return options_.responses; }
  /// Memory of the bodies that are read from all peers of the pool.
  BodyBudget& budget() { return budget_; }
  boost::asio::io_context& loop() { return loop_; }
  std::uint64_t opened() const { return opened_; }

 private:
  /// A probe in progress, shared by its callers.
  struct Probe {
    explicit Probe(boost::asio::io_context& loop) : done(loop) {}
    Signal done;
    std::optional<PeerState> state;
  };

  Task<boost::system::error_code> open(ClientConnectionPtr connection, Instant deadline);
  Task<PeerState> openProbe(Address peer, Instant deadline);

  boost::asio::io_context& loop_;
  ConnectionPoolOptions options_;
  BodyBudget budget_;
  /// Idle connections by peer, newest last.
  std::map<Address, std::vector<ClientConnectionPtr>> idle_;
  std::map<Address, std::shared_ptr<Probe>> probes_;
  std::uint64_t opened_ = 0;  ///< Total number of connections opened, for metrics.
};

}  // namespace linenpier::http
