#pragma once

/** @file
 * Requests that the system itself sends to services, as a client's request would be sent: by the
 * same choice of engines, attempts and checks of answers.
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
  TenantId tenant;          ///< On whose behalf; empty: nobody's.
  Duration limit{};         ///< Until it is given up; the route may set a shorter one.
  double max_per_slot = 0;  ///< Engines that are fuller are left to clients; 0: no limit.
  std::shared_ptr<http::Cancellation> cancellation;  ///< Ends the request.
};

struct internal_outcome {
  unsigned status = 0;    ///< Of a whole, signed answer; 0: there was none.
  std::string signature;  ///< Of that answer.
  int failures = 0;       ///< Attempts that engines answered with 500.
  int attempts = 0;
  Duration wait{};  ///< It may not run for so long, since engines ended under it.

  bool operator==(const internal_outcome&) const = default;
};

class internal_requests {
 public:
  virtual ~internal_requests() = default;

  virtual Task<internal_outcome> send(internal_request request) = 0;
};

}  // namespace linenpier::forward
