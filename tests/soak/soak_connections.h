#pragma once

/** @file
 * Clients of a soak test that keep their connections, and use them until the gateway closes them.
 * They connect to the gateways directly, so that only the gateways and their processes end a
 * connection. Test code.
 */

#include <memory>
#include <vector>

#include "soak/soak_world.h"

namespace linenpier::soak {

/** Loop thread only; must outlive the loop. */
class soak_connections {
 public:
  explicit soak_connections(soak_world& world);

  void start();

 private:
  /** A client with one connection to one gateway. */
  struct client {
    client(boost::asio::io_context& loop, std::size_t to, std::uint64_t seed)
        : gateway(to), pool(loop, {}), random(seed) {}

    std::size_t gateway;
    http::ConnectionPool pool;
    Instant connected_at{};  ///< When the connection was opened, or some time before.
    Random random;
  };

  Task<void> run(client* each);
  /** Sends a request on the client's connection, and opens one if necessary. */
  Task<http::CallOutcome> call(client* each, http::Request request, Duration timeout);
  /** A kind of request that must run at most once. */
  enum class RequestKind {
    kUsual,
    kSlow,    ///< The engine takes long.
    kUpload,  ///< The body is large.
  };
  RequestKind drawKind(client* each) const;
  /** Sends a request that must run at most once. */
  Task<http::ExchangeStatus> sendOnce(client* each, std::string id, RequestKind kind);
  /** Checks that the gateway had not been stopping for long when the request was sent. */
  void checkStops(const client& each, const std::string& id, Instant sent_at);
  /** Requests a stream, so that the connection is kept by a response that may begin before a stop
   * and end after it.
   */
  Task<void> sendStream(client* each, std::string id);

  soak_world& world_;
  std::vector<std::unique_ptr<client>> clients_;
  std::size_t sent_ = 0;
};

}  // namespace linenpier::soak
