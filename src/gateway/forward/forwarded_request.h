#pragma once

/** @file
 * One request on its way through the gateway, and the message that an engine receives for it.
 */

#include <optional>
#include <string>

#include "gateway/engines/engine_admission.h"
#include "gateway/forward/field_names.h"
#include "gateway/http/http_types.h"
#include "gateway/routing/route_table.h"
#include "gateway/suspects/suspect_tracker.h"
#include "gateway/tenants/caller.h"

namespace linenpier::forward {

/** State of one request, shared by its attempts.
 *
 * An attempt that was aborted may end after the caller has its reply. It must not read `request`
 * then, but the copy that it sent.
 */
struct forwarded_request {
  routing::RouteTablePtr table;            ///< Keeps `route` alive.
  const routing::Route* route = nullptr;   ///< Of `table`.
  const http::Request* request = nullptr;  ///< Valid until the caller has its reply.
  tenants::caller caller;
  std::string id;
  Instant received{};
  Instant deadline{};
  double max_per_slot = 0;    ///< Engines with more requests per slot are skipped; 0: no limit.
  bool internal = false;      ///< Sent by the system itself, not by a client.
  bool run_reported = false;  ///< Its run has been reported to the usage recorder.
  /** Why no engine was found at the last choice that found none. */
  engines::refusal_tally refusals;
  std::optional<suspects::request_key> key;  ///< Computed when first needed.
  suspects::suspect_admission admission;     ///< As a suspect; as last asked for.
};

/** @return when the gateway gives up: the shorter of the route's timeout and the time that the
 *     sender says it waits, counted from `received`.
 */
Instant deadlineOf(const field_names& names, const routing::Route& route,
                   const http::Request& request, Instant received);

/** @return a copy for an engine, with the time that is left and the tenant in place of its key. */
http::Request makeEngineRequest(const field_names& names, const forwarded_request& forwarded,
                                Instant now);

/** @return the request's key, computed once.
 * @param message the request, or the copy that an attempt sent.
 */
const suspects::request_key& keyOf(forwarded_request& forwarded, const http::Request& message);

}  // namespace linenpier::forward
