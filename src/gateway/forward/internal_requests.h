#pragma once

/** @file
 * Requests that the gateway itself sends to services, such as reward requests. They use the same
 * engine selection, retry policy and response checks as client requests.
 */

#include <memory>
#include <string>

#include "common/task.h"
#include "gateway/http/http_types.h"
#include "gateway/routing/configuration.h"

namespace linenpier::forward {

struct internal_request {
  routing::ConfigurationPtr table;
  const routing::Route* route = nullptr;  ///< Route of the request, owned by `table`.
  http::Request message;
  TenantId tenant;          ///< Tenant that the request is sent for; may be empty.
  Duration timeout{};       ///< Upper limit of the timeout; the route may set a shorter one.
  double max_per_slot = 0;  ///< Engines with more requests per slot are skipped; 0 means unlimited.
  std::shared_ptr<http::Cancellation> cancellation;  ///< Allows the sender to abort the request.
};

struct internal_outcome {
  unsigned status = 0;    ///< Status of a complete, signed response; 0 if there was none.
  std::string signature;  ///< Signature of the response.
  int failures = 0;       ///< Attempts that engines answered with status 500.
  int attempts = 0;
  Duration retry_after{};  ///< Time until the request may run, if it is a suspect.

  bool operator==(const internal_outcome&) const = default;
};

class internal_requests {
 public:
  virtual ~internal_requests() = default;

  virtual Task<internal_outcome> send(internal_request request) = 0;
};

}  // namespace linenpier::forward
