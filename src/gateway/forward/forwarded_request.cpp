#include "gateway/forward/forwarded_request.h"

#include <algorithm>
#include <cstdlib>

#include "gateway/suspects/request_key.h"

namespace linenpier::forward {

namespace {

constexpr unsigned kHttp11 = 11;
/** Minimum value of the deadline field; 0 is not a valid deadline. */
constexpr std::int64_t kMinDeadlineMs = 1;

}  // namespace

Instant deadlineOf(const field_names& names, const routing::Route& route,
                   const http::Request& request, Instant received) {
  const std::string text = http::fieldText(request, names.deadline_ms);
  Duration limit = route.timeout;
  if (!text.empty()) {
    const auto named = std::chrono::milliseconds(std::strtoll(text.c_str(), nullptr, 10));
    if (named > Duration::zero()) limit = std::min<Duration>(limit, named);
  }
  return received + limit;
}

http::Request makeEngineRequest(const field_names& names, const forwarded_request& forwarded,
                                Instant now) {
  const http::Request& request = *forwarded.request;
  http::Request copy(request.method(), request.target(), kHttp11);
  copy.method_string(request.method_string());
  http::copyEndToEndFields(request, copy);
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(forwarded.deadline - now);
  copy.set(names.deadline_ms, std::to_string(std::max(kMinDeadlineMs, left.count())));
  tenants::setTenantField(*forwarded.table, names.tenant, forwarded.caller.tenant, copy);
  if (forwarded.caller.priority) {
    copy.set(names.priority, std::to_string(*forwarded.caller.priority));
  }
  copy.body() = request.body();
  copy.prepare_payload();
  return copy;
}

bool useAddress(forwarded_request& forwarded, const Address& address) {
  return !forwarded.used_addresses.insert(address).second;
}

const suspects::request_key& keyOf(forwarded_request& forwarded, const http::Request& message) {
  if (!forwarded.key) {
    const TenantId& tenant = forwarded.caller.tenant;
    forwarded.key = forwarded.internal ? suspects::rewardKeyOf(tenant, message)
                                       : suspects::keyOf(tenant, message);
  }
  return *forwarded.key;
}

}  // namespace linenpier::forward
