#pragma once

/// @file
/// Datagrams between daemons over one UDP socket.

#include <atomic>
#include <functional>
#include <string_view>
#include <thread>

#include "common/address.h"
#include "common/error.h"

namespace linenpier::daemon {

/// Owns the socket and its receiving thread.
class UdpTransport {
 public:
  /// Called on the receiving thread with each datagram.
  using Receiver = std::function<void(std::string_view frame)>;

  UdpTransport() = default;
  ~UdpTransport();
  UdpTransport(const UdpTransport&) = delete;
  UdpTransport& operator=(const UdpTransport&) = delete;

  /// Binds the socket and starts receiving.
  tl::expected<void, Findings> start(const Address& address, Receiver receiver);
  void stop();
  /// Sends without waiting; a datagram that cannot be sent is lost, as on any network.
  void send(const Address& to, std::string_view frame);

  std::uint64_t bytesSent() const { return bytes_sent_; }
  std::uint64_t bytesReceived() const { return bytes_received_; }
  std::uint64_t datagramsSent() const { return datagrams_sent_; }

 private:
  void receiveLoop();

  int socket_ = -1;
  Receiver receiver_;
  std::thread thread_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> bytes_sent_{0};
  std::atomic<std::uint64_t> bytes_received_{0};
  std::atomic<std::uint64_t> datagrams_sent_{0};
};

}  // namespace linenpier::daemon
