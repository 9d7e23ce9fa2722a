#include "gateway/tenants/caller.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace linenpier::tenants {

namespace {

using boost::beast::http::field;

constexpr std::string_view kScheme = "Bearer ";

/** @return the bearer token of the request, or an empty string. */
std::string bearerToken(const http::Fields& fields) {
  const auto at = fields.find(field::authorization);
  if (at == fields.end()) return {};
  const std::string value = boost::algorithm::trim_copy(std::string(at->value()));
  if (!boost::algorithm::istarts_with(value, kScheme)) return {};
  return boost::algorithm::trim_copy(value.substr(kScheme.size()));
}

}  // namespace

const char* toText(KeyStatus status) {
  switch (status) {
    case KeyStatus::kNotNeeded:
      return "not_needed";
    case KeyStatus::kKnown:
      return "known";
    case KeyStatus::kMissing:
      return "missing";
    case KeyStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

caller authenticate(const routing::Configuration& configuration, const http::Fields& fields) {
  caller sender;
  if (!configuration.tenants.requiresKeys()) return sender;
  const std::string key = bearerToken(fields);
  if (key.empty()) {
    sender.key_status = KeyStatus::kMissing;
    return sender;
  }
  const routing::tenant* owner = configuration.tenants.find(routing::digestOf(key));
  sender.key_status = owner == nullptr ? KeyStatus::kUnknown : KeyStatus::kKnown;
  if (owner != nullptr) {
    sender.tenant = owner->name;
    sender.priority = owner->priority;
  }
  return sender;
}

void setTenantField(const routing::Configuration& configuration, const std::string& tenant_field,
                    const TenantId& tenant, http::Fields& fields) {
  if (!configuration.tenants.requiresKeys()) return;
  fields.erase(field::authorization);
  fields.erase(tenant_field);
  if (!tenant.empty()) fields.set(tenant_field, tenant.str());
}

void addChallenge(KeyStatus status, http::Response& response) {
  std::string text = "Bearer realm=\"linenpier\"";
  if (status == KeyStatus::kUnknown) text += ", error=\"invalid_token\"";
  response.set(field::www_authenticate, text);
}

}  // namespace linenpier::tenants
