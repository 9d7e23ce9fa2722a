#include "gateway/routing/tenant_table.h"

#include "configuration_document.h"
#include "gateway/tenants/caller.h"

// Criterion's macros clash with Boost's headers that come after it.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

using namespace linenpier;
using routing::digestOf;
using routing::tenant;
using routing::tenant_table;
using tenants::KeyStatus;

namespace {

constexpr char kConfiguration[] =
    R"({"version":4,"routes":[],"services":[],"tenants":[
        {"name":"ada","apiKeys":["secret-a1","secret-a2"],"priority":1},
        {"name":"bob","apiKeys":["secret-b1"]},{"name":"cy","apiKeys":[]}]})";

routing::Configuration parsed(const std::string& text) {
  const auto table = platform_adapter::parseConfiguration(text);
  cr_assert(table.has_value());
  return *table;
}

http::Fields withKey(const std::string& value) {
  http::Fields fields;
  if (!value.empty()) fields.set("Authorization", value);
  return fields;
}

}  // namespace

Test(tenant_table, every_key_of_a_tenant_is_accepted) {
  const routing::Configuration table = parsed(kConfiguration);
  for (const char* key : {"Bearer secret-a1", "bearer  secret-a2 "}) {
    const tenants::caller from = tenants::authenticate(table, withKey(key));
    cr_assert_eq(from.key_status, KeyStatus::kKnown);
    cr_assert_eq(from.tenant.str(), "ada");
    cr_assert_eq(from.priority.value_or(-1), 1);
  }
  const tenants::caller bob = tenants::authenticate(table, withKey("Bearer secret-b1"));
  cr_assert_eq(bob.tenant.str(), "bob");
  cr_assert_not(bob.priority.has_value());
}

Test(tenant_table, other_keys_and_schemes_are_rejected) {
  const routing::Configuration table = parsed(kConfiguration);
  for (const char* key : {"Bearer secret-a", "Bearer secret-a11", "Bearer SECRET-A1"}) {
    cr_assert_eq(tenants::authenticate(table, withKey(key)).key_status, KeyStatus::kUnknown);
  }
  for (const char* key : {"", "Bearer ", "Basic secret-a1", "secret-a1"}) {
    cr_assert_eq(tenants::authenticate(table, withKey(key)).key_status, KeyStatus::kMissing);
  }
  cr_assert_not(tenants::authenticate(table, withKey("Bearer x")).admitted());
}

Test(tenant_table, without_tenants_no_key_is_required_and_fields_are_kept) {
  const routing::Configuration table = parsed(R"({"version":4,"routes":[],"services":[]})");
  cr_assert(tenants::authenticate(table, withKey("")).admitted());
  http::Fields fields = withKey("Bearer mine");
  tenants::setTenantField(table, "Tenant-Id", TenantId(), fields);
  cr_assert_eq(http::fieldText(fields, "Authorization"), "Bearer mine");
}

Test(tenant_table, reports_duplicate_names_and_keys_with_their_place) {
  const std::vector<tenant> twice = {{TenantId("ada"), {}, {digestOf("k1")}},
                                     {TenantId("ada"), {}, {digestOf("k2")}},
                                     {TenantId("bob"), {}, {digestOf("k1")}}};
  const auto table = tenant_table::make(twice);
  cr_assert_not(table.has_value());
  cr_assert_eq(table.error().size(), 2U);
  cr_assert_eq(table.error()[0].place, "tenants[1].name");
  cr_assert_eq(table.error()[1].place, "tenants[2]");
}

Test(tenant_table, key_may_be_repeated_within_a_tenant) {
  const auto table = tenant_table::make({{TenantId("ada"), {}, {digestOf("k"), digestOf("k")}}});
  cr_assert(table.has_value());
  cr_assert_eq(table->find(digestOf("k"))->name.str(), "ada");
}

Test(tenant_table, digest_round_trips_through_hex) {
  const auto digest = digestOf("key");
  cr_assert(routing::digestFromHex(routing::toHex(digest)) == digest);
  cr_assert_not(routing::digestFromHex("12").has_value());
  cr_assert_not(routing::digestFromHex(std::string(64, 'x')).has_value());
}

Test(tenant_table, hashed_keys_hide_the_keys_and_leave_the_tenants_unchanged) {
  const std::string redacted = platform_adapter::hashApiKeys(kConfiguration);
  cr_assert_eq(redacted.find("secret"), std::string::npos);
  cr_assert(parsed(redacted).tenants.all() == parsed(kConfiguration).tenants.all());
  cr_assert_eq(platform_adapter::hashApiKeys(redacted), redacted);
}

Test(tenant_table, key_of_two_tenants_invalidates_the_configuration) {
  const auto table = platform_adapter::parseConfiguration(
      R"({"version":4,"routes":[],"services":[],"tenants":[
          {"name":"ada","apiKeys":["k"]},{"name":"bob","apiKeys":["k"]}]})");
  cr_assert_not(table.has_value());
}
