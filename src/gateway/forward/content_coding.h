#pragma once

/** @file
 * Negotiation of content codings (RFC 9110, 8.4 and 12.5.3).
 */

#include "gateway/http/http_types.h"

namespace linenpier::forward {

/** @return whether the request accepts each content coding of the response. A request without
 * Accept-Encoding accepts none, which is stricter than HTTP.
 */
bool acceptsCodings(const http::Fields& request, const http::Fields& response);

}  // namespace linenpier::forward
