#pragma once

/** @file
 * The operator's configuration: routes, services, tenants and limits of the HTTP server. Immutable:
 * a daemon replaces it as a whole when it reads a newer version.
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

/** Whether requests of a route may be repeated, and how they are answered. */
enum class RequestKind {
  kIdempotent,     ///< A request may run several times, even concurrently.
  kNonIdempotent,  ///< A request may run at most once.
  kStreaming,  ///< A request is answered with events and repeated only if the route is resumable.
  kBatch,      ///< Batch jobs are submitted under this route.
};

/** @return the name of the request kind in logs and metrics. */
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
  std::vector<WeightedService> services;  ///< Services that serve the route; at least one.
  Duration timeout = std::chrono::seconds(30);
  Duration target_latency = std::chrono::seconds(1);  ///< Hedging starts after half of this time.
  Duration target_finish{};         ///< Batch: deadline of all results after submission.
  Duration max_item_age{};          ///< Batch: age after which an item may be dropped.
  fleet::data_residency residency;  ///< Where requests may be served, cached and stored.
  int priority = 5;                 ///< Priority if the tenant has none; 0 is the highest.
  /** Maximum number of attempts per request. Attempts at unreachable engines do not count;
   * `forward::attempt_policy` limits those separately.
   */
  int max_attempts = 1;
  bool sticky = false;          ///< The option is accepted, but not implemented.
  bool resumable = false;       ///< Streaming: a request may be resumed at another engine.
  bool single_version = false;  ///< Batch: a single weight version generates all of an item.
  bool is_public = false;       ///< Whether requests need no key.

  /** @return the share of the route's requests that the service gets by its weight, from 0 to 1. */
  double shareOf(const ServiceName& service) const;
  /** @return whether a request may be sent again after an engine may have run it. */
  bool repeatable() const {
    return kind == RequestKind::kIdempotent || (kind == RequestKind::kStreaming && resumable);
  }
};

struct Service {
  ServiceName name;
  std::string health_path;
  std::uint32_t max_connections = 100;  ///< Maximum connections to an engine, over all daemons.
  /** Requests a second that a cold engine can serve; 0: no limit. */
  double cold_per_second = 0;
  Duration cold_time{};           ///< How long an engine is cold after its start.
  double memory_tokens = 0;       ///< Capacity of an engine's memory in tokens; 0: unknown.
  std::vector<ModelName> models;  ///< Models of the service; empty for a service without models.
  std::optional<fleet::scaling_bounds> scaling;  ///< Absent if scaling is not automatic.
};

/** One version of the operator's configuration. Versions increase. */
struct Configuration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceName, Service> services;
  tenant_table tenants;
  http::ServerLimits limits;

  /** @return the route of the host with the longest matching path prefix, or nullptr. */
  const Route* find(const std::string& host, const std::string& path) const;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

}  // namespace linenpier::routing
