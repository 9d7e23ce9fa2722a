#include "daemon/process/udp_transport.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <vector>

#include "daemon/wire/frame_codec.h"

namespace linenpier::daemon {

namespace {

constexpr int kPollMilliseconds = 100;
constexpr int kReceiveBufferBytes = 1 << 20;

}  // namespace

UdpTransport::~UdpTransport() {
  stop();
}

tl::expected<void, Findings> UdpTransport::start(const Address& address, Receiver receiver) {
  receiver_ = std::move(receiver);
  socket_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const sockaddr_in local = toSocketAddress(address);
  setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
  if (socket_ < 0 || bind(socket_, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0) {
    return tl::make_unexpected(
        Findings{{"datagram socket " + toString(address), std::strerror(errno)}});
  }
  thread_ = std::thread([this] { receiveLoop(); });
  return {};
}

void UdpTransport::stop() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
  if (socket_ >= 0) ::close(socket_);
  socket_ = -1;
}

void UdpTransport::send(const Address& to, std::string_view frame) {
  const sockaddr_in remote = toSocketAddress(to);
  const auto sent = sendto(socket_, frame.data(), frame.size(), MSG_DONTWAIT,
                           reinterpret_cast<const sockaddr*>(&remote), sizeof(remote));
  if (sent < 0) return;
  bytes_sent_ += static_cast<std::uint64_t>(sent);
  ++datagrams_sent_;
}

void UdpTransport::receiveLoop() {
  std::vector<char> buffer(wire::kMaxFrameBytes + 1);
  while (!stopping_) {
    pollfd descriptor{socket_, POLLIN, 0};
    if (poll(&descriptor, 1, kPollMilliseconds) <= 0) continue;
    const auto received = recv(socket_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (received <= 0) continue;
    bytes_received_ += static_cast<std::uint64_t>(received);
    receiver_({buffer.data(), static_cast<std::size_t>(received)});
  }
}

}  // namespace linenpier::daemon
