#pragma once

/** @file
 * Which requests are the same, however often and wherever they come.
 */

#include <string_view>

#include "common/ids.h"
#include "gateway/http/http_types.h"

namespace linenpier::suspects {

/** Stands for all requests of one tenant with the same host, path, query and body. Ids, deadlines
 * and other fields differ from try to try and are left out.
 */
using request_key = Id<struct request_key_tag>;

/** @return 48 hexadecimal digits: 16 of the tenant, so that no tenant's requests are taken for
 *     another's, whatever it puts into their bodies, and 32 of the rest.
 */
request_key keyOf(const TenantId& tenant, std::string_view host, std::string_view target,
                  std::string_view body);
request_key keyOf(const TenantId& tenant, const http::Request& request);

}  // namespace linenpier::suspects
