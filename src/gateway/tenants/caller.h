#pragma once

/** @file
 * Authentication: which tenant sends a request, by the key that it carries. Pure.
 */

#include <optional>
#include <string>

#include "gateway/http/http_types.h"
#include "gateway/routing/route_table.h"
#include "gateway/routing/tenant_table.h"

namespace linenpier::tenants {

/** The result of the check of a request's key. */
enum class KeyStatus {
  kNotNeeded,  ///< There are no tenants.
  kKnown,
  kMissing,
  kUnknown,  ///< No tenant of the newest configuration has it.
};

/** @return the name in logs and metrics. */
const char* toText(KeyStatus status);

/** Who sent a request. The key itself is not kept. */
struct caller {
  KeyStatus key_status = KeyStatus::kNotNeeded;
  TenantId tenant;              ///< Empty unless the key is known.
  std::optional<int> priority;  ///< Of that tenant.

  /** @return whether the request may use what its route leaves to tenants. */
  bool admitted() const {
    return this->key_status == KeyStatus::kNotNeeded || this->key_status == KeyStatus::kKnown;
  }
  bool operator==(const caller&) const = default;
};

/** Checks the key of a request against a configuration.
 *
 * Done once, when the request arrives. What was admitted then is not checked again: an open stream
 * goes on to its end, and an accepted job runs on under its tenant's name, also after the key was
 * removed. Each later call about the job is a request of its own and is checked. A request that is
 * not admitted gets 401; 503 from a daemon that does not know the newest configuration.
 */
caller authenticate(const routing::RouteTable& table, const http::Fields& fields);

/** Puts the tenant's name into a message to an engine in place of the client's key and of what the
 * client sent as a name. Does nothing where there are no tenants.
 * @param tenant_field name of the field that engines read.
 * @param tenant empty: none, as on a public route.
 */
void setTenantField(const routing::RouteTable& table, const std::string& tenant_field,
                    const TenantId& tenant, http::Fields& fields);

/** Adds the challenge to a 401 for a client whose key is missing or unknown. */
void addChallenge(KeyStatus status, http::Response& response);

}  // namespace linenpier::tenants
