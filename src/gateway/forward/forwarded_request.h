#pragma once

/** @file
 * State of a request that is being forwarded, and the message sent to engines for it.
 */

#include <optional>
#include <set>
#include <string>

#include "common/address.h"
#include "gateway/engines/engine_admission.h"
#include "gateway/forward/field_names.h"
#include "gateway/http/http_types.h"
#include "gateway/routing/configuration.h"
#include "gateway/suspects/suspect_tracker.h"
#include "gateway/tenants/caller.h"

namespace linenpier::forward {

/** State of one request, shared by its attempts.
 *
 * An aborted attempt may finish after the reply was sent, when `request` is no longer valid, so it
 * must use the copy of the message in `engine_call::request`.
 */
struct forwarded_request {
  routing::ConfigurationPtr table;         ///< Route table that owns `route`.
  const routing::Route* route = nullptr;   ///< Route of the request, owned by `table`.
  const http::Request* request = nullptr;  ///< Request message; valid until the reply was sent.
  tenants::caller caller;
  std::string id;
  Instant received{};
  Instant deadline{};
  double max_per_slot = 0;  ///< Engines with more requests per slot are skipped; 0 means unlimited.
  bool internal = false;    ///< Whether the gateway itself sends the request, not a client.
  bool run_reported = false;  ///< Whether the usage recorder was notified of the execution.
  ServiceName service;        ///< Service of the route that was tried last; empty: none yet.
  /** Reasons why the last unsuccessful engine selection found no engine. */
  engines::admission_failure_counts refusals;
  std::optional<suspects::request_key> key;  ///< Key of the request; computed on first use.
  suspects::suspect_admission admission;     ///< Result of the last suspect check.
  std::set<Address> used_addresses;          ///< Engine addresses of all attempts.
};

/** @return the deadline: `received` plus the shorter of the route's timeout and the sender's
 * timeout.
 */
Instant deadlineOf(const field_names& names, const routing::Route& route,
                   const http::Request& request, Instant received);

/** @return a copy of the request for an engine, with the remaining time and with the tenant's name
 * instead of its API key.
 */
http::Request makeEngineRequest(const field_names& names, const forwarded_request& forwarded,
                                Instant now);

/** Records the engine address of a new attempt. All attempts have the same request id, so that on a
 * connection of an earlier attempt a repeated response to that attempt could not be told from the
 * response to the new one.
 * @return whether the attempt needs a new connection, since an earlier attempt used the address.
 */
bool useAddress(forwarded_request& forwarded, const Address& address);

/** @return the request's key; computed on the first call.
 * @param message the request, or the copy that an attempt sent.
 */
const suspects::request_key& keyOf(forwarded_request& forwarded, const http::Request& message);

}  // namespace linenpier::forward
