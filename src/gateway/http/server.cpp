#include "gateway/http/server.h"

#include <algorithm>

#include "gateway/http/server_session.h"

namespace linenpier::http {

namespace asio = boost::asio;

namespace {
constexpr int kBacklog = 1024;
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);
}  // namespace

std::optional<Finding> Server::listen(const Address& address) {
  const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4(address.ip), address.port);
  boost::system::error_code error;
  acceptor_.open(endpoint.protocol(), error);
  if (!error) acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor_.bind(endpoint, error);
  if (!error) acceptor_.listen(kBacklog, error);
  if (error) return Finding{toString(address), "cannot listen: " + error.message()};
  spawn(loop_, [this] { return acceptLoop(); });
  return std::nullopt;
}

Task<void> Server::acceptLoop() {
  while (acceptor_.is_open()) {
    asio::ip::tcp::socket socket(loop_);
    boost::system::error_code error;
    co_await acceptor_.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) co_return;
    if (error) {
      co_await sleepFor(loop_, kAcceptRetryDelay);
      continue;
    }
    const auto session = std::make_shared<ServerSession>(*this, std::move(socket));
    spawn(loop_, [session] { return session->run(); });
  }
}

Address Server::address() const {
  boost::system::error_code ignored;
  const asio::ip::tcp::endpoint endpoint = acceptor_.local_endpoint(ignored);
  return {endpoint.address().to_v4().to_uint(), endpoint.port()};
}

void Server::setLimits(const ServerLimits& limits) {
  limits_ = limits;
  updateBodyBudget();
}

void Server::setBodyMemory(std::size_t bytes) {
  body_memory_ = bytes;
  updateBodyBudget();
}

void Server::updateBodyBudget() {
  body_budget_.setLimit(std::max<std::size_t>(body_memory_, limits_.max_body_bytes));
}

void Server::beginDrain() {
  draining_ = true;
}

void Server::shutDown() {
  shut_down_ = true;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  const std::set<ServerSession*> sessions = sessions_;
  for (ServerSession* session : sessions) session->closeIfIdle();
}

void Server::endRequests() {
  const std::set<ServerSession*> sessions = sessions_;
  for (ServerSession* session : sessions) session->endRequest();
}

}  // namespace linenpier::http
