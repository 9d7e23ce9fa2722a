#pragma once

/** @file
 * Key that identifies a request across retries and gateway daemons.
 */

#include <string_view>

#include "common/ids.h"
#include "gateway/http/http_types.h"

namespace linenpier::suspects {

/** Identifies all requests of one tenant with the same host, path, query and body. Header fields,
 * such as id and deadline, differ between retries and are ignored.
 */
using request_key = Id<struct request_key_tag>;

/** @return 48 hexadecimal digits: a 16-digit hash of the tenant, so that a tenant cannot craft a
 * collision with another tenant's request, and a 32-digit hash of the host,
 * path, query and body.
 */
request_key keyOf(const TenantId& tenant, std::string_view host, std::string_view target,
                  std::string_view body);
request_key keyOf(const TenantId& tenant, const http::Request& request);

}  // namespace linenpier::suspects
