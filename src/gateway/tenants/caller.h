#pragma once

/** @file
 * Who sends a request, by the key that it carries.
 */

#include <optional>
#include <string>

#include "gateway/http/http_types.h"
#include "gateway/routing/route_table.h"
#include "gateway/routing/tenant_table.h"

namespace linenpier::tenants {

/** What a request's key says. */
enum class KeyVerdict {
  kNotNeeded,  ///< There are no tenants.
  kKnown,
  kMissing,
  kUnknown,  ///< No tenant of the newest configuration has it.
};

/** @return the verdict as logs and metrics name it. */
const char* toText(KeyVerdict verdict);

/** Who sent a request. The key itself is not kept. */
struct caller {
  KeyVerdict verdict = KeyVerdict::kNotNeeded;
  TenantId tenant;              ///< Empty unless the key is known.
  std::optional<int> priority;  ///< Of that tenant.

  /** @return whether the request may use what its route leaves to tenants. */
  bool admitted() const {
    return this->verdict == KeyVerdict::kNotNeeded || this->verdict == KeyVerdict::kKnown;
  }
  bool operator==(const caller&) const = default;
};

/** @return who sent a request with these fields. */
caller identify(const routing::RouteTable& table, const http::Fields& fields);

/** Names the tenant to an engine in place of what the client sent: its key goes no further. Does
 * nothing where there are no tenants.
 * @param tenant_field name of the field that engines read.
 * @param tenant empty: of nobody, as on a public route.
 */
void nameTenant(const routing::RouteTable& table, const std::string& tenant_field,
                const TenantId& tenant, http::Fields& fields);

/** Challenges a client whose key is missing or not known. */
void challenge(KeyVerdict verdict, http::Response& response);

}  // namespace linenpier::tenants
