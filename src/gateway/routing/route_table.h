#pragma once

/** @file
 * The operator's configuration: which service serves a request, and under which rules. Values only;
 * every daemon holds the newest table that it has read and replaces it as a whole.
 */

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/time.h"
#include "gateway/fleet/data_residency.h"
#include "gateway/fleet/scaling_bounds.h"
#include "gateway/http/server.h"
#include "gateway/routing/tenant_table.h"

namespace linenpier::routing {

/** Whether a route's requests may be repeated, and in what form they are answered. */
enum class RequestKind {
  kIdempotent,     ///< May run more than once, also at the same time.
  kNonIdempotent,  ///< May run at most once.
  kStreaming,      ///< Answers with events; repeated only if resumable.
  kBatch,          ///< Batch jobs are submitted under this route.
};

/** @return the kind as logs and metrics name it. */
const char* toText(RequestKind kind);

struct WeightedService {
  ServiceName service;
  std::uint32_t weight = 1;
};

struct Route {
  RouteName name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  RequestKind kind = RequestKind::kNonIdempotent;
  std::vector<WeightedService> services;  ///< At least one.
  Duration timeout = std::chrono::seconds(30);
  Duration target_latency = std::chrono::seconds(1);  ///< Half of it is the delay of a hedge.
  Duration target_finish{};         ///< Batch: all results are due this long after submission.
  Duration queue_limit{};           ///< Batch: an item may be given up this long after submission.
  fleet::data_residency residency;  ///< Where its requests may be served, cached and stored.
  int priority = 5;                 ///< 0 is the highest. A tenant's own priority goes before it.
  /** Attempts that are sent for one request. Engines that can't be reached do not count; they are
   * bounded apart (`forward::attempt_policy`).
   */
  int max_attempts = 1;
  bool sticky = false;          ///< Read from the configuration; nothing acts on it.
  bool resumable = false;       ///< Streaming: may go on at another engine after the last event.
  bool single_version = false;  ///< Batch: one version of weights makes an item's whole text.
  bool is_public = false;       ///< Requests need no key.

  /** @return whether a request may be sent to a second engine after the first may have run it. */
  bool repeatable() const {
    return kind == RequestKind::kIdempotent || (kind == RequestKind::kStreaming && resumable);
  }
};

struct Service {
  ServiceName name;
  std::string health_path;
  std::uint32_t max_connections = 100;  ///< An engine's limit, over all daemons.
  /** Requests a second that a cold engine bears; 0: no bound. */
  double cold_per_second = 0;
  Duration cold_time{};           ///< How long an engine is cold after its start.
  double memory_tokens = 0;       ///< Tokens that an engine's memory holds; 0: not known.
  std::vector<ModelName> models;  ///< Empty for services that serve no model.
  std::optional<fleet::scaling_bounds>
      scaling;  ///< Absent: the gateway does not scale the service.
};

/** One version of the operator's configuration. Versions only grow. */
struct RouteTable {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceName, Service> services;
  tenant_table tenants;
  http::ServerLimits limits;

  /** @return the route of that host with the longest prefix of `path`, or nullptr. */
  const Route* find(const std::string& host, const std::string& path) const;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

}  // namespace linenpier::routing
