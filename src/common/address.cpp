#include "common/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace linenpier {

std::optional<Address> parseAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  in_addr binary{};
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &binary) != 1) return std::nullopt;
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  if (port == 0 || port > 65535) return std::nullopt;
  return Address{ntohl(binary.s_addr), static_cast<std::uint16_t>(port)};
}

std::string ipText(const Address& address) {
  char buffer[INET_ADDRSTRLEN];
  const in_addr binary{htonl(address.ip)};
  inet_ntop(AF_INET, &binary, buffer, sizeof(buffer));
  return buffer;
}

sockaddr_in toSocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = htonl(address.ip);
  result.sin_port = htons(address.port);
  return result;
}

std::string toString(const Address& address) {
  return ipText(address) + ":" + std::to_string(address.port);
}

}  // namespace linenpier
