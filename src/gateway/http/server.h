#pragma once

/// @file
/// HTTP server on the event loop: one task a connection, requests read whole, answers written
/// whole or piece by piece. Loop thread only.

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <optional>
#include <set>

#include "common/address.h"
#include "common/error.h"
#include "common/task.h"
#include "gateway/http/http_types.h"

namespace linenpier::http {

struct ServerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 32ULL * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);  ///< From a head's first byte to its end.
  Duration body_timeout = std::chrono::seconds(10);   ///< From a head's end to the body's.
  Duration idle_timeout = std::chrono::seconds(15);   ///< Between two requests.
};

class ServerSession;

/// Where a handler puts its answer. Exactly one of `send`, `beginStream` … `endStream` or
/// `abortConnection` must end every request; a handler that returns without any breaks the
/// connection off.
class ResponseWriter {
 public:
  explicit ResponseWriter(ServerSession& session) : session_(session) {}

  /// Sends a whole answer with its length.
  Task<bool> send(Response response);
  /// Sends the head of an answer in chunks. @return false if the client is gone.
  Task<bool> beginStream(ResponseHead head);
  Task<bool> writeChunk(std::string bytes);
  Task<bool> endStream();
  /// Closes the connection so that what was sent does not look complete.
  void abortConnection();
  bool started() const { return started_; }
  bool ended() const { return ended_; }

  /// Requested when the client closes its connection before the answer's end.
  Cancellation& cancellation() { return cancellation_; }

 private:
  friend class ServerSession;
  ServerSession& session_;
  Cancellation cancellation_;
  bool started_ = false;
  bool ended_ = false;
};

using Handler = std::function<Task<void>(Request&, Instant received, ResponseWriter&)>;

/// Listens on one address until `stop`.
class Server {
 public:
  Server(boost::asio::io_context& loop, Handler handler)
      : loop_(loop), acceptor_(loop), handler_(std::move(handler)) {}

  /// @return nothing, or what is wrong with the address.
  std::optional<Finding> listen(const Address& address);
  /// @return the address in use, with the port that the system chose where port 0 was asked for.
  Address address() const;
  void setLimits(const ServerLimits& limits) { limits_ = limits; }
  /// From now on every answer closes its connection.
  void beginDrain();
  /// Stops accepting and closes connections that are between two requests.
  void closeIdle();
  std::size_t activeRequests() const { return active_requests_; }
  std::size_t connections() const { return sessions_.size(); }

 private:
  friend class ServerSession;
  Task<void> acceptLoop();

  boost::asio::io_context& loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
  ServerLimits limits_;
  std::set<ServerSession*> sessions_;  ///< Every open connection.
  std::size_t active_requests_ = 0;  ///< Requests between their first byte and their answer's end.
  bool draining_ = false;
};

}  // namespace linenpier::http
