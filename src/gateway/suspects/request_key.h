#pragma once

/** @file
 * Key that identifies a request across retries and gateway daemons.
 */

#include <string_view>

#include "common/ids.h"
#include "gateway/http/http_types.h"

namespace linenpier::suspects {

/** Identifies all requests of one tenant and source with the same host, path, query and body.
 * Header fields, such as id and deadline, differ between retries and are ignored.
 */
using request_key = Id<struct request_key_tag>;

/** Origin of a request. Only the caller retries a caller's request. The owner of a batch job
 * retries a reward request until its item is scored, since the job owes the result.
 */
enum class RequestSource { kCaller, kReward };

/** @return 48 hexadecimal digits: a 16-digit hash of the tenant, so that a tenant cannot craft a
 * collision with another tenant's request, and a 32-digit hash of the host,
 * path, query and body.
 */
request_key keyOf(const TenantId& tenant, std::string_view host, std::string_view target,
                  std::string_view body);
request_key keyOf(const TenantId& tenant, const http::Request& request);
/** @return the key of a reward request, which differs from that of a caller's equal request:
 * neither is barred for crashes under the other.
 */
request_key rewardKeyOf(const TenantId& tenant, const http::Request& request);
RequestSource sourceOf(const request_key& key);

}  // namespace linenpier::suspects
