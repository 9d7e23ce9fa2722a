#pragma once

/** @file
 * A loopback TCP proxy that injects network faults: it blocks data in one or both directions,
 * delays it, or resets all connections. Test code.
 */

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>

#include "common/address.h"
#include "common/task.h"

namespace linenpier::soak {

enum class LinkMode {
  kForward,
  kBlockAll,        ///< Blocks both directions; connections stay open.
  kBlockResponses,  ///< Blocks the direction from the target to the client.
  kDelay,           ///< Delays each chunk.
};

const char* toText(LinkMode mode);

/** Loop thread only; must outlive the loop. */
class fault_proxy {
 public:
  /** @param target the address that connections are forwarded to.
   * @param port the port to listen on.
   */
  fault_proxy(boost::asio::io_context& loop, Address target, std::uint16_t port);

  /** @return the address that clients connect to instead of the target. */
  Address address() const;
  void setMode(LinkMode mode) { this->mode_ = mode; }
  LinkMode mode() const { return this->mode_; }
  void resetAll();
  /** Refuses connections, like the address of a process that is down. */
  void stopListening();
  void listenAgain();

 private:
  struct link;
  Task<void> acceptLoop();
  Task<void> serve(std::shared_ptr<link> link);
  Task<void> pump(std::shared_ptr<link> link, bool responses);
  bool isBlocked(bool responses) const;

  boost::asio::io_context& loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Address target_;
  Address address_;
  LinkMode mode_ = LinkMode::kForward;
  std::set<std::shared_ptr<link>> links_;
};

}  // namespace linenpier::soak
