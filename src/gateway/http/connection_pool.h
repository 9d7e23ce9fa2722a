#pragma once

/// @file
/// Kept connections to engines and to the platform.

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "common/address.h"
#include "common/task.h"
#include "gateway/http/http_types.h"

namespace linenpier::http {

/// One outgoing connection. Closed when the last owner lets go of it.
struct ClientConnection {
  explicit ClientConnection(boost::asio::io_context& loop) : stream(loop) {}

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;  ///< Bytes received and not parsed yet.
  Address peer;
  Instant usable_until{};  ///< The peer closes it some time after this.
  bool reused = false;     ///< Whether it carried an exchange before.

  /// Ends what is read or written after `deadline`. The stream's own timer runs on the steady
  /// clock.
  void expireAt(Instant deadline) { stream.expires_after(deadline - steadyNow()); }
};

using ClientConnectionPtr = std::shared_ptr<ClientConnection>;

/// What becomes of a connection that is opened to a peer.
enum class PeerState {
  kAccepting,
  kRefusing,      ///< The host answers; no process listens there.
  kUnresponsive,  ///< No answer in time: the host is away, cut off or stands still.
};

struct ConnectionPoolOptions {
  std::size_t max_idle_per_peer = 32;
  Duration idle_timeout = std::chrono::seconds(4);  ///< Where the peer names no time.
};

/// Idle connections by peer. Loop thread only.
class ConnectionPool {
 public:
  ConnectionPool(boost::asio::io_context& loop, ConnectionPoolOptions options)
      : loop_(loop), options_(options) {}

  /// @return an idle connection on which nothing unasked has arrived, or nullptr.
  ClientConnectionPtr acquireIdle(Instant now, const Address& peer);
  /// Opens a connection. @return nullptr if none came up before `deadline`.
  Task<ClientConnectionPtr> connect(Address peer, Instant deadline);
  /// Opens a connection to see whether the peer takes it; one that it takes is kept. Those who ask
  /// of one peer at the same time share one: when an engine resets its runs to load weights, all of
  /// them ask.
  Task<PeerState> probe(Address peer, Instant deadline);
  /// Keeps a connection that is at rest between two exchanges.
  void release(Instant now, ClientConnectionPtr connection, Duration idle_timeout);
  /// Closes the idle connections to a peer that is gone.
  void closeIdle(const Address& peer) { idle_.erase(peer); }
  /// Closes what has rested too long.
  void sweep(Instant now);

  Duration defaultIdleTimeout() const { return options_.idle_timeout; }
  boost::asio::io_context& loop() { return loop_; }
  std::uint64_t opened() const { return opened_; }

 private:
  /// One that is under way, for all who ask.
  struct Probe {
    explicit Probe(boost::asio::io_context& loop) : done(loop) {}
    Signal done;
    std::optional<PeerState> state;
  };

  Task<boost::system::error_code> open(ClientConnectionPtr connection, Instant deadline);
  Task<PeerState> openProbe(Address peer, Instant deadline);

  boost::asio::io_context& loop_;
  ConnectionPoolOptions options_;
  std::map<Address, std::vector<ClientConnectionPtr>> idle_;  ///< Newest last.
  std::map<Address, std::shared_ptr<Probe>> probes_;
  std::uint64_t opened_ = 0;  ///< Connections ever opened, for the metrics.
};

}  // namespace linenpier::http
