#pragma once

/** @file
 * Shared by the clients and the trainer of a soak test. Test code.
 */

#include "common/random.h"
#include "gateway/http/client_exchange.h"

namespace linenpier::soak {

constexpr Duration kCallInterval = std::chrono::milliseconds(25);
constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);
/** Maximum duration of all calls for an accepted job. */
constexpr Duration kJobTimeout = std::chrono::seconds(40);

inline http::Request makeRequest(boost::beast::http::verb verb, const std::string& target) {
  http::Request request(verb, target, 11);
  request.set("Host", "h.example");
  return request;
}

/** @return a gateway other than `last`, if there is one. */
inline std::size_t anotherGateway(Random& random, std::size_t last, std::size_t count) {
  return count < 2 ? last : (last + 1 + random.below(count - 1)) % count;
}

}  // namespace linenpier::soak
