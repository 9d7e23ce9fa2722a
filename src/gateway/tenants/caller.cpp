#include "gateway/tenants/caller.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace linenpier::tenants {

namespace {

using boost::beast::http::field;

constexpr std::string_view kScheme = "Bearer ";

/** @return the bearer token in the fields, or the empty text. */
std::string keyOf(const http::Fields& fields) {
  const auto at = fields.find(field::authorization);
  if (at == fields.end()) return {};
  const std::string value = boost::algorithm::trim_copy(std::string(at->value()));
  if (!boost::algorithm::istarts_with(value, kScheme)) return {};
  return boost::algorithm::trim_copy(value.substr(kScheme.size()));
}

}  // namespace

const char* toText(KeyVerdict verdict) {
  switch (verdict) {
    case KeyVerdict::kNotNeeded:
      return "not_needed";
    case KeyVerdict::kKnown:
      return "known";
    case KeyVerdict::kMissing:
      return "missing";
    case KeyVerdict::kUnknown:
      return "unknown";
  }
  return "unknown";
}

caller identify(const routing::RouteTable& table, const http::Fields& fields) {
  caller from;
  if (!table.tenants.required()) return from;
  const std::string key = keyOf(fields);
  if (key.empty()) {
    from.verdict = KeyVerdict::kMissing;
    return from;
  }
  const routing::tenant* owner = table.tenants.find(routing::digestOf(key));
  from.verdict = owner == nullptr ? KeyVerdict::kUnknown : KeyVerdict::kKnown;
  if (owner != nullptr) {
    from.tenant = owner->name;
    from.priority = owner->priority;
  }
  return from;
}

void nameTenant(const routing::RouteTable& table, const std::string& tenant_field,
                const TenantId& tenant, http::Fields& fields) {
  if (!table.tenants.required()) return;
  fields.erase(field::authorization);
  fields.erase(tenant_field);
  if (!tenant.empty()) fields.set(tenant_field, tenant.str());
}

void challenge(KeyVerdict verdict, http::Response& response) {
  std::string text = "Bearer realm=\"linenpier\"";
  if (verdict == KeyVerdict::kUnknown) text += ", error=\"invalid_token\"";
  response.set(field::www_authenticate, text);
}

}  // namespace linenpier::tenants
