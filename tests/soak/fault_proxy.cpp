#include "soak/fault_proxy.h"

#include <array>
#include <boost/asio/write.hpp>

#include "support/listen_again.h"

namespace linenpier::soak {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {
constexpr Duration kBlockPollInterval = std::chrono::milliseconds(10);
constexpr Duration kChunkDelay = std::chrono::milliseconds(150);
/// Small, so that a sender waits while the receiver behind the proxy reads nothing.
constexpr int kBufferBytes = 64 * 1024;
}  // namespace

const char* toText(LinkMode mode) {
  switch (mode) {
    case LinkMode::kForward:
      return "pass";
    case LinkMode::kBlockAll:
      return "silent";
    case LinkMode::kBlockResponses:
      return "silent_answers";
    case LinkMode::kDelay:
      return "delayed";
  }
  return "unknown";
}

struct fault_proxy::link {
  explicit link(boost::asio::io_context& loop) : client(loop), target(loop) {}

  tcp::socket client;
  tcp::socket target;

  void close() {
    boost::system::error_code ignored;
    this->client.close(ignored);
    this->target.close(ignored);
  }
  void reset() {
    boost::system::error_code ignored;
    this->client.set_option(asio::socket_base::linger(true, 0), ignored);
    this->target.set_option(asio::socket_base::linger(true, 0), ignored);
    this->close();
  }
};

fault_proxy::fault_proxy(asio::io_context& loop, Address target, std::uint16_t port)
    : loop_(loop),
      acceptor_(loop, tcp::endpoint(asio::ip::address_v4::loopback(), port)),
      target_(target),
      address_{0x7f000001, acceptor_.local_endpoint().port()} {
  boost::system::error_code ignored;
  this->acceptor_.set_option(asio::socket_base::receive_buffer_size(kBufferBytes), ignored);
  spawn(this->loop_, [this] { return this->acceptLoop(); });
}

Address fault_proxy::address() const {
  return this->address_;
}

void fault_proxy::stopListening() {
  boost::system::error_code ignored;
  this->acceptor_.close(ignored);
  this->resetAll();
}

void fault_proxy::listenAgain() {
  test::listenAgain(this->acceptor_, this->address_.port);
  spawn(this->loop_, [this] { return this->acceptLoop(); });
}

void fault_proxy::resetAll() {
  for (const auto& each : this->links_) each->reset();
}

bool fault_proxy::isBlocked(bool responses) const {
  return this->mode_ == LinkMode::kBlockAll ||
         (responses && this->mode_ == LinkMode::kBlockResponses);
}

Task<void> fault_proxy::acceptLoop() {
  for (;;) {
    const auto accepted = std::make_shared<link>(this->loop_);
    boost::system::error_code error;
    co_await this->acceptor_.async_accept(accepted->client,
                                          asio::redirect_error(asio::use_awaitable, error));
    if (!this->acceptor_.is_open()) co_return;
    if (error) continue;
    spawn(this->loop_, [this, accepted] { return this->serve(accepted); });
  }
}

Task<void> fault_proxy::serve(std::shared_ptr<link> link) {
  this->links_.insert(link);
  const tcp::endpoint target(asio::ip::address_v4(this->target_.ip), this->target_.port);
  boost::system::error_code error;
  link->target.open(tcp::v4(), error);
  link->target.set_option(asio::socket_base::send_buffer_size(kBufferBytes), error);
  co_await link->target.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    // The target is down: reset the client's connection.
    link->reset();
    this->links_.erase(link);
    co_return;
  }
  spawn(this->loop_, [this, link] { return this->pump(link, true); });
  co_await this->pump(link, false);
  this->links_.erase(link);
}

Task<void> fault_proxy::pump(std::shared_ptr<link> link, bool responses) {
  tcp::socket& from = responses ? link->target : link->client;
  tcp::socket& to = responses ? link->client : link->target;
  std::array<char, 16384> buffer{};
  for (;;) {
    boost::system::error_code error;
    const std::size_t count = co_await from.async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    while (this->isBlocked(responses) && link->client.is_open()) {
      co_await sleepFor(this->loop_, kBlockPollInterval);
    }
    // A reset must not look like an end in order to the other side.
    if (error && error != asio::error::eof) link->reset();
    if (error) break;
    if (this->mode_ == LinkMode::kDelay) {
      co_await sleepFor(this->loop_, kChunkDelay);
    }
    co_await asio::async_write(to, asio::buffer(buffer.data(), count),
                               asio::redirect_error(asio::use_awaitable, error));
    if (error) link->reset();
    if (error) break;
  }
  link->close();
}

}  // namespace linenpier::soak
