#pragma once

/// @file
/// Listens on a previously used port again, like a restarted process. Test code.

#include <boost/asio/ip/tcp.hpp>

namespace linenpier::test {

inline void listenAgain(boost::asio::ip::tcp::acceptor& acceptor, std::uint16_t port) {
  using tcp = boost::asio::ip::tcp;
  const tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), port);
  acceptor.open(endpoint.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind(endpoint);
  acceptor.listen();
}

}  // namespace linenpier::test
