#pragma once

/// @file
/// Numeric IPv4 addresses. Host names are never resolved.

#include <netinet/in.h>

#include <boost/serialization/level.hpp>
#include <boost/serialization/tracking.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace linenpier {

/// An IPv4 address and port, in host byte order.
struct Address {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;

  auto operator<=>(const Address&) const = default;

  template <typename Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& ip& port;
  }
};

/// @param text "127.0.0.1:7000".
/// @return nothing if the text is not an IPv4 address and a port between 1 and 65535.
std::optional<Address> parseAddress(const std::string& text);
/// @return the address as "127.0.0.1:7000".
std::string toString(const Address& address);
/// @return the address as a socket endpoint.
sockaddr_in toSocketAddress(const Address& address);
/// @return the IP address without the port, as "127.0.0.1".
std::string ipText(const Address& address);

}  // namespace linenpier

BOOST_CLASS_IMPLEMENTATION(linenpier::Address, boost::serialization::object_serializable)
BOOST_CLASS_TRACKING(linenpier::Address, boost::serialization::track_never)
