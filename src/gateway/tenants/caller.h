#pragma once

/** @file
 * Authentication of requests by the key of a tenant. Does no I/O.
 */

#include <optional>
#include <string>

#include "gateway/http/http_types.h"
#include "gateway/routing/configuration.h"
#include "gateway/routing/tenant_table.h"

namespace linenpier::tenants {

enum class KeyStatus {
  kNotNeeded,  ///< No tenants are configured.
  kKnown,
  kMissing,
  kUnknown,  ///< The key belongs to no tenant of the configuration.
};

/** @return the name of the key status in logs and metrics. */
const char* toText(KeyStatus status);

/** Sender of a request, without its key. */
struct caller {
  KeyStatus key_status = KeyStatus::kNotNeeded;
  TenantId tenant;              ///< Tenant of the key; empty unless the key is known.
  std::optional<int> priority;  ///< Priority of the tenant.

  /** @return whether the sender may use routes that require a key. */
  bool admitted() const {
    return this->key_status == KeyStatus::kNotNeeded || this->key_status == KeyStatus::kKnown;
  }
  bool operator==(const caller&) const = default;
};

/** Checks the key of a request against a configuration.
 *
 * Called once per request. Open streams and accepted jobs continue after their key is removed,
 * while each later request about a job is checked again. A request that is not admitted gets 401,
 * or 503 from a daemon that does not have the newest configuration.
 */
caller authenticate(const routing::Configuration& configuration, const http::Fields& fields);

/** Replaces the client's key in a request to an engine by the name of the tenant. Overwrites a name
 * that the client sent. Does nothing without tenants.
 * @param tenant_field name of the header field.
 * @param tenant tenant of the request; empty: none, as on a public route.
 */
void setTenantField(const routing::Configuration& configuration, const std::string& tenant_field,
                    const TenantId& tenant, http::Fields& fields);

/** Adds the WWW-Authenticate field to a 401 response. */
void addChallenge(KeyStatus status, http::Response& response);

}  // namespace linenpier::tenants
