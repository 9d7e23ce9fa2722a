#pragma once

/** @file
 * Requests that are answered with one complete response, for clients and for the system itself.
 * Loop thread only.
 */

#include <memory>
#include <optional>

#include "gateway/forward/attempt_group.h"
#include "gateway/forward/attempt_policy.h"
#include "gateway/forward/forwarding_context.h"
#include "gateway/forward/internal_requests.h"
#include "gateway/http/server.h"

namespace linenpier::forward {

class unary_forwarder {
 public:
  explicit unary_forwarder(const forwarding_context& context) : context_(context) {}

  /** Sends the client an engine's response or a local reply, unless the client is gone. */
  Task<void> serve(std::shared_ptr<forwarded_request> forwarded, http::ResponseWriter& writer);
  /** Serves an internal request by the same rules of attempts. */
  Task<internal_outcome> send(internal_request request);

 private:
  /** What the attempts of one request came to. */
  struct attempts_outcome {
    std::optional<http::Response> response;  ///< Complete and signed.
    int failures = 0;                        ///< Attempts that engines answered with 500.
  };

  std::shared_ptr<forwarded_request> makeInternal(const internal_request& request) const;
  /** Runs attempts until there is an response to pass on, or no attempt runs and none may start. */
  Task<attempts_outcome> runAttempts(std::shared_ptr<forwarded_request> forwarded,
                                     attempt_policy& policy, http::Cancellation& cancellation);
  /** Takes in the attempts that ended; the last response that is not tried elsewhere is passed on.
   */
  void processResults(attempt_group& group, attempt_policy& policy,
                      attempts_outcome& outcome) const;
  /** @return whether an attempt was started; it may not be admitted, or no engine be found. */
  Task<bool> startAttempt(std::shared_ptr<forwarded_request> forwarded, attempt_group& group,
                          attempt_policy& policy, http::Cancellation& cancellation);

  forwarding_context context_;
};

}  // namespace linenpier::forward
