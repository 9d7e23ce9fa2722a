#pragma once

/// @file
/// Asynchronous HTTP server with one coroutine per connection. Requests are read completely before
/// they are handled; responses are sent complete or chunked. Event loop thread only.

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <limits>
#include <optional>
#include <set>

#include "common/address.h"
#include "common/error.h"
#include "common/task.h"
#include "gateway/http/body_budget.h"
#include "gateway/http/http_types.h"

namespace linenpier::http {

struct ServerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 32ULL * 1024 * 1024;
  /// Time to read a request header, counted from the first byte.
  Duration header_timeout = std::chrono::seconds(3);
  /// Time to read a request body, counted from the end of the header.
  Duration body_timeout = std::chrono::seconds(10);
  /// Maximum time between two requests of a connection.
  Duration idle_timeout = std::chrono::seconds(15);
};

class ServerSession;

/// Sends the response of a request. A handler must call `send`, or `beginStream` and `endStream`,
/// or `abortConnection`. If the handler returns without one of these calls, the
/// connection is closed.
class ResponseWriter {
 public:
  explicit ResponseWriter(ServerSession& session) : session_(session) {}

  /// Sends a complete response with Content-Length.
  Task<bool> send(Response response);
  /// Sends the header of a chunked response. @return false if the client disconnected.
  Task<bool> beginStream(ResponseHead head);
  Task<bool> writeChunk(std::string bytes);
  Task<bool> endStream();
  /// Resets the connection, so that the client detects an incomplete response.
  void abortConnection();
  bool started() const { return started_; }
  bool ended() const { return ended_; }

  /// @return the cancellation that is requested if the client disconnects before the response ends,
  /// or if the server ends the request.
  Cancellation& cancellation() { return cancellation_; }
  /// @return whether the client no longer waits for the response.
  bool clientGone() const { return cancellation_.requested() && !ended_by_server_; }

 private:
  friend class ServerSession;
  ServerSession& session_;
  Cancellation cancellation_;
  bool ended_by_server_ = false;
  bool started_ = false;
  bool ended_ = false;
};

using Handler = std::function<Task<void>(Request&, Instant received, ResponseWriter&)>;

/// HTTP server that listens on one address until `shutDown` is called.
class Server {
 public:
  Server(boost::asio::io_context& loop, Handler handler)
      : loop_(loop), acceptor_(loop), handler_(std::move(handler)) {}

  /// Starts to listen. @return the error, or nullopt on success.
  std::optional<Finding> listen(const Address& address);
  /// @return the bound address, with the port assigned by the system if port 0 was requested.
  Address address() const;
  void setLimits(const ServerLimits& limits);
  /// Sets how many bytes the bodies of all requests in progress may have together. A single request
  /// may have a body of any allowed size. Requests with further large bodies are refused with 503.
  void setBodyMemory(std::size_t bytes);
  /// Disables keep-alive, so that each connection closes after its next response.
  void beginDrain();
  /// Stops accepting connections and closes idle ones. Requests in progress continue; their
  /// connections are closed after the response.
  void shutDown();
  /// Ends the requests in progress. Their handlers respond with what is known by then.
  void endRequests();
  std::size_t activeRequests() const { return active_requests_; }
  std::size_t connections() const { return sessions_.size(); }

 private:
  friend class ServerSession;
  Task<void> acceptLoop();
  void updateBodyBudget();

  boost::asio::io_context& loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
  ServerLimits limits_;
  std::size_t body_memory_ = std::numeric_limits<std::size_t>::max();
  /// Bodies of requests in progress, without the first `kUncountedBodyBytes` of each.
  BodyBudget body_budget_{body_memory_};
  std::set<ServerSession*> sessions_;  ///< All open connections.
  /// Number of requests whose first byte has arrived and whose response has not ended.
  std::size_t active_requests_ = 0;
  bool draining_ = false;
  bool shut_down_ = false;
};

}  // namespace linenpier::http
