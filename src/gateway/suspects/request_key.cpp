#include "gateway/suspects/request_key.h"

#include <cstdio>

#include "common/hash.h"

namespace linenpier::suspects {

namespace {
/** Distinguishes the keys of reward requests. */
constexpr std::string_view kRewardPrefix = "reward-";

/** Prefixes a part with its length, so that moving characters from one part to the next changes the
 * hash.
 */
std::string lengthPrefixed(std::string_view part) {
  return std::to_string(part.size()) + ":" + std::string(part);
}
}  // namespace

request_key keyOf(const TenantId& tenant, std::string_view host, std::string_view target,
                  std::string_view body) {
  const hash128 target_hash = hashTo128(lengthPrefixed(host) + lengthPrefixed(target));
  const hash128 combined = hashTo128(body, target_hash.low ^ target_hash.high);
  char digits[49];
  std::snprintf(digits, sizeof(digits), "%016llx%016llx%016llx",
                static_cast<unsigned long long>(hash64(tenant.str())),
                static_cast<unsigned long long>(combined.high),
                static_cast<unsigned long long>(combined.low));
  return request_key(digits);
}

request_key keyOf(const TenantId& tenant, const http::Request& request) {
  const std::string host = http::fieldText(request, "Host");
  const std::string_view target(request.target().data(), request.target().size());
  return keyOf(tenant, host, target, request.body());
}

request_key rewardKeyOf(const TenantId& tenant, const http::Request& request) {
  return request_key(std::string(kRewardPrefix) + keyOf(tenant, request).str());
}

RequestSource sourceOf(const request_key& key) {
  return key.str().starts_with(kRewardPrefix) ? RequestSource::kReward : RequestSource::kCaller;
}

}  // namespace linenpier::suspects
