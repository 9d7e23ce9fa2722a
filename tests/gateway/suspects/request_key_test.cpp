/// @file
/// Which parts of a request determine its key.

#include "gateway/suspects/request_key.h"

#include <criterion/criterion.h>

using namespace linenpier;
using suspects::keyOf;

namespace {
http::Request makeRequest(const std::string& target, const std::string& body) {
  http::Request request(boost::beast::http::verb::post, target, 11);
  request.set("Host", "h.example");
  request.body() = body;
  return request;
}
}  // namespace

Test(request_key, request_id_and_deadline_do_not_change_the_key) {
  http::Request one = makeRequest("/look/1", "a");
  http::Request other = one;
  one.set("Request-Id", "r1");
  one.set("Deadline-Ms", "1000");
  other.set("Request-Id", "r2");
  cr_assert(keyOf(TenantId("t"), one) == keyOf(TenantId("t"), other));
}

Test(request_key, path_query_body_host_and_tenant_change_the_key) {
  const http::Request request = makeRequest("/look/1", "a");
  const suspects::request_key key = keyOf(TenantId("t"), request);
  cr_assert(key != keyOf(TenantId("u"), request));
  cr_assert(key != keyOf(TenantId("t"), makeRequest("/look/2", "a")));
  cr_assert(key != keyOf(TenantId("t"), makeRequest("/look/1?a", "a")));
  cr_assert(key != keyOf(TenantId("t"), makeRequest("/look/1", "b")));
  cr_assert(key != keyOf(TenantId("t"), "other.example", "/look/1", "a"));
  cr_assert(keyOf(TenantId("t"), "ab", "c", "") != keyOf(TenantId("t"), "a", "bc", ""));
}

Test(request_key, key_prefix_depends_on_the_tenant_only) {
  const auto tenantDigits = [](const char* tenant, const char* body) {
    return keyOf(TenantId(tenant), "h", "/", body).str().substr(0, 16);
  };
  cr_assert_eq(tenantDigits("t", "a"), tenantDigits("t", "b"));
  cr_assert_neq(tenantDigits("t", "a"), tenantDigits("u", "a"));
}

// Guards against a caller's request that is barred for crashes under a reward request, or reverse.
Test(request_key, a_reward_request_has_another_key_than_an_equal_request_of_a_caller) {
  const http::Request request = makeRequest("/look/1", "a");
  const suspects::request_key reward = suspects::rewardKeyOf(TenantId("t"), request);
  cr_assert(reward != keyOf(TenantId("t"), request));
  cr_assert(suspects::sourceOf(reward) == suspects::RequestSource::kReward);
  cr_assert(suspects::sourceOf(keyOf(TenantId("t"), request)) == suspects::RequestSource::kCaller);
}
