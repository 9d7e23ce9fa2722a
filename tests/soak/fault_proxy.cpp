#include "soak/fault_proxy.h"

#include <array>
#include <boost/asio/write.hpp>

#include "support/listen_again.h"

namespace linenpier::soak {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {
constexpr Duration kHoldPoll = std::chrono::milliseconds(10);
constexpr Duration kDelay = std::chrono::milliseconds(150);
}  // namespace

const char* toText(LinkMode mode) {
  switch (mode) {
    case LinkMode::kPass:
      return "pass";
    case LinkMode::kSilent:
      return "silent";
    case LinkMode::kSilentAnswers:
      return "silent_answers";
    case LinkMode::kDelayed:
      return "delayed";
  }
  return "unknown";
}

struct fault_proxy::link {
  explicit link(boost::asio::io_context& loop) : caller(loop), target(loop) {}

  tcp::socket caller;
  tcp::socket target;

  void close() {
    boost::system::error_code ignored;
    this->caller.close(ignored);
    this->target.close(ignored);
  }
  void reset() {
    boost::system::error_code ignored;
    this->caller.set_option(asio::socket_base::linger(true, 0), ignored);
    this->target.set_option(asio::socket_base::linger(true, 0), ignored);
    this->close();
  }
};

fault_proxy::fault_proxy(asio::io_context& loop, Address target)
    : loop_(loop),
      acceptor_(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      target_(target),
      own_{0x7f000001, acceptor_.local_endpoint().port()} {
  spawn(this->loop_, [this] { return this->acceptLoop(); });
}

Address fault_proxy::address() const {
  return this->own_;
}

void fault_proxy::stopListening() {
  boost::system::error_code ignored;
  this->acceptor_.close(ignored);
  this->resetAll();
}

void fault_proxy::listenAgain() {
  test::listenAgain(this->acceptor_, this->own_.port);
  spawn(this->loop_, [this] { return this->acceptLoop(); });
}

void fault_proxy::resetAll() {
  for (const auto& each : this->links_) each->reset();
}

bool fault_proxy::holdsBack(bool answers) const {
  return this->mode_ == LinkMode::kSilent || (answers && this->mode_ == LinkMode::kSilentAnswers);
}

Task<void> fault_proxy::acceptLoop() {
  for (;;) {
    const auto made = std::make_shared<link>(this->loop_);
    boost::system::error_code error;
    co_await this->acceptor_.async_accept(made->caller,
                                          asio::redirect_error(asio::use_awaitable, error));
    if (!this->acceptor_.is_open()) co_return;
    if (error) continue;
    spawn(this->loop_, [this, made] { return this->serve(made); });
  }
}

Task<void> fault_proxy::serve(std::shared_ptr<link> link) {
  this->links_.insert(link);
  const tcp::endpoint target(asio::ip::address_v4(this->target_.ip), this->target_.port);
  boost::system::error_code error;
  co_await link->target.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    // The target is down: callers see a reset, as from a dead port.
    link->reset();
    this->links_.erase(link);
    co_return;
  }
  spawn(this->loop_, [this, link] { return this->pump(link, true); });
  co_await this->pump(link, false);
  this->links_.erase(link);
}

Task<void> fault_proxy::pump(std::shared_ptr<link> link, bool answers) {
  tcp::socket& from = answers ? link->target : link->caller;
  tcp::socket& to = answers ? link->caller : link->target;
  std::array<char, 16384> buffer{};
  for (;;) {
    boost::system::error_code error;
    const std::size_t count = co_await from.async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    while (this->holdsBack(answers) && link->caller.is_open()) {
      co_await sleepFor(this->loop_, kHoldPoll);
    }
    if (error) break;
    if (this->mode_ == LinkMode::kDelayed) {
      co_await sleepFor(this->loop_, kDelay);
    }
    co_await asio::async_write(to, asio::buffer(buffer.data(), count),
                               asio::redirect_error(asio::use_awaitable, error));
    if (error) break;
  }
  link->close();
}

}  // namespace linenpier::soak
