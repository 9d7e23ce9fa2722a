#pragma once

/** @file
 * Identity of a request over all its tries, at whichever daemon they arrive.
 */

#include <string_view>

#include "common/ids.h"
#include "gateway/http/http_types.h"

namespace linenpier::suspects {

/** Stands for all requests of one tenant with the same host, path, query and body. Ids, deadlines
 * and other header fields differ between tries and are left out.
 */
using request_key = Id<struct request_key_tag>;

/** @return 48 hexadecimal digits: 16 of the tenant alone, so that no tenant can craft a body that
 * is taken for another tenant's, and 32 of the rest.
 */
request_key keyOf(const TenantId& tenant, std::string_view host, std::string_view target,
                  std::string_view body);
request_key keyOf(const TenantId& tenant, const http::Request& request);

}  // namespace linenpier::suspects
