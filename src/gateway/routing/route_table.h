#pragma once

/// @file
/// Routes: which service serves a request, and under which rules. Values only; every daemon holds
/// the newest table it has seen and replaces it whole.

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

/// What the operator says about repeating a route's requests, and in what form they answer.
enum class RequestKind {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< May run at most once.
  kStreaming,      ///< Answers with events; repeated only if resumable.
  kBatch,          ///< Batch jobs are handed in under this route.
};

/// @return the kind as logs and metrics name it.
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
  Duration target_latency = std::chrono::seconds(1);
  Duration target_finish{};         ///< Batch: all results are due this long after the hand-in.
  Duration queue_limit{};           ///< Batch: an item may be given up this long after the hand-in.
  fleet::data_residency residency;  ///< Where its requests may be served, cached and stored.
  int priority = 5;
  int max_attempts = 1;
  bool sticky = false;
  bool resumable = false;
  bool single_version = false;
  bool is_public = false;  ///< Requests need no key.

  /// @return whether a request may be sent to a second engine after the first may have run it.
  bool repeatable() const {
    return kind == RequestKind::kIdempotent || (kind == RequestKind::kStreaming && resumable);
  }
};

struct Service {
  ServiceName name;
  std::string health_path;
  std::uint32_t max_connections = 100;  ///< An engine's limit, over all daemons.
  /// Requests a second that an engine bears for some time after its start; 0: no bound.
  double cold_per_second = 0;
  Duration cold_time{};           ///< How long that is.
  double memory_tokens = 0;       ///< Tokens that an engine's memory holds; 0: not told.
  std::vector<ModelName> models;  ///< Empty for services that serve no model.
  std::optional<fleet::scaling_bounds> scaling;  ///< Absent: its engines are not ours to count.
};

/// One version of the operator's configuration. Versions only grow.
struct RouteTable {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceName, Service> services;
  tenant_table tenants;
  http::ServerLimits limits;

  /// @return the route of that host whose prefix begins `path` and is longest, or nullptr.
  const Route* find(const std::string& host, const std::string& path) const;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

}  // namespace linenpier::routing
