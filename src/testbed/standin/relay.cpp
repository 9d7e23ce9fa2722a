#include "testbed/standin/relay.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace linenpier::standin {

namespace {

constexpr int kPollMilliseconds = 100;
constexpr std::size_t kLargestDatagram = 64 * 1024;
constexpr int kReceiveBufferBytes = 4 << 20;

}  // namespace

Relay::Relay(const std::vector<ListedDaemon>& daemons, Faults& faults) : faults_(faults) {
  for (const ListedDaemon& daemon : daemons) {
    if (daemon.relay.port != 0) daemons_.push_back(daemon);
  }
}

Relay::~Relay() {
  stop();
}

tl::expected<void, Findings> Relay::start() {
  for (const ListedDaemon& daemon : daemons_) {
    const int handle = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockets_.push_back(handle);
    setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
    const sockaddr_in local = toSocketAddress(daemon.relay);
    if (bind(handle, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0) {
      return tl::make_unexpected(
          Findings{{"relay address " + toString(daemon.relay), std::strerror(errno)}});
    }
  }
  if (!daemons_.empty()) thread_ = std::thread([this] { loop(); });
  return {};
}

void Relay::stop() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
  for (const int handle : sockets_) ::close(handle);
  sockets_.clear();
}

void Relay::loop() {
  std::vector<pollfd> descriptors;
  for (const int handle : sockets_) descriptors.push_back({handle, POLLIN, 0});
  while (!stopping_) {
    if (poll(descriptors.data(), descriptors.size(), kPollMilliseconds) <= 0) continue;
    for (std::size_t i = 0; i < descriptors.size(); ++i) {
      if ((descriptors[i].revents & POLLIN) != 0) pass(i);
    }
  }
}

void Relay::pass(std::size_t receiver) {
  static thread_local std::vector<char> buffer(kLargestDatagram);
  sockaddr_in source{};
  socklen_t source_bytes = sizeof(source);
  const auto received = recvfrom(sockets_[receiver], buffer.data(), buffer.size(), MSG_DONTWAIT,
                                 reinterpret_cast<sockaddr*>(&source), &source_bytes);
  if (received <= 0) return;
  const Address from{ntohl(source.sin_addr.s_addr), ntohs(source.sin_port)};
  const ListedDaemon& target = daemons_[receiver];
  for (const ListedDaemon& sender : daemons_) {
    if (sender.control == from && faults_.cut(sender.zone.str(), target.zone.str())) {
      faults_.noteStruck("datagram-cut");
      return;
    }
  }
  const sockaddr_in remote = toSocketAddress(target.control);
  sendto(sockets_[receiver], buffer.data(), static_cast<std::size_t>(received), MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&remote), sizeof(remote));
}

}  // namespace linenpier::standin
