#pragma once

/** @file
 * Requests that the system itself sends to services, such as reward calls: by the same choice of
 * engines, the same retry rule and the same checks of answers as a client's.
 */

#include <memory>
#include <string>

#include "common/task.h"
#include "gateway/http/http_types.h"
#include "gateway/routing/route_table.h"

namespace linenpier::forward {

struct internal_request {
  routing::RouteTablePtr table;
  const routing::Route* route = nullptr;  ///< Of that table.
  http::Request message;
  TenantId tenant;          ///< On whose behalf; empty: no tenant's.
  Duration timeout{};       ///< Time until it is given up; the route may set a shorter one.
  double max_per_slot = 0;  ///< Engines with more requests per slot are skipped; 0: no timeout.
  std::shared_ptr<http::Cancellation> cancellation;  ///< Ends the request.
};

struct internal_outcome {
  unsigned status = 0;    ///< Of a complete, signed answer; 0: there was none.
  std::string signature;  ///< Of that answer.
  int failures = 0;       ///< Attempts that engines answered with 500.
  int attempts = 0;
  Duration retry_after{};  ///< It may not run for so long: it is a suspect.

  bool operator==(const internal_outcome&) const = default;
};

class internal_requests {
 public:
  virtual ~internal_requests() = default;

  virtual Task<internal_outcome> send(internal_request request) = 0;
};

}  // namespace linenpier::forward
