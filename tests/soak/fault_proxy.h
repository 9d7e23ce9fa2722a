#pragma once

/** @file
 * A proxy on the loopback interface that stands on a link and does what networks do: it holds bytes
 * back, also in one direction only, delays them, or resets every connection. Test code.
 */

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>

#include "common/address.h"
#include "common/task.h"

namespace linenpier::soak {

enum class LinkMode {
  kPass,
  kSilent,         ///< Nothing gets through; connections stay open.
  kSilentAnswers,  ///< What callers send gets through, nothing comes back.
  kDelayed,        ///< Each piece is held up.
};

const char* toText(LinkMode mode);

/** Loop thread only; never destroyed while the loop runs. */
class fault_proxy {
 public:
  /** @param target where connections are passed on to. */
  fault_proxy(boost::asio::io_context& loop, Address target);

  /** @return where callers connect in place of the target. */
  Address address() const;
  void setMode(LinkMode mode) { this->mode_ = mode; }
  LinkMode mode() const { return this->mode_; }
  void resetAll();
  /** As the target's own address while its process is down: connections are refused. */
  void stopListening();
  void listenAgain();

 private:
  struct link;
  Task<void> acceptLoop();
  Task<void> serve(std::shared_ptr<link> link);
  Task<void> pump(std::shared_ptr<link> link, bool answers);
  bool holdsBack(bool answers) const;

  boost::asio::io_context& loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Address target_;
  Address own_;
  LinkMode mode_ = LinkMode::kPass;
  std::set<std::shared_ptr<link>> links_;
};

}  // namespace linenpier::soak
