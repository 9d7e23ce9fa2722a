#pragma once

/** @file
 * Forwards requests with a single response, for clients and for the gateway itself. Event loop
 * thread only.
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

  /** Sends the client an engine response or a local reply, unless the client disconnects. */
  Task<void> serve(std::shared_ptr<forwarded_request> forwarded, http::ResponseWriter& writer);
  /** Sends an internal request with the retry policy of client requests. */
  Task<internal_outcome> send(internal_request request);

 private:
  /** Result of all attempts of one request. */
  struct attempts_outcome {
    std::optional<http::Response> response;  ///< Complete, signed engine response.
    int failures = 0;                        ///< Attempts that engines answered with status 500.
  };

  std::shared_ptr<forwarded_request> makeInternal(const internal_request& request) const;
  /** Runs attempts until there is a response to forward, or until no attempt is in flight and no
   * further attempt may start.
   */
  Task<attempts_outcome> runAttempts(std::shared_ptr<forwarded_request> forwarded,
                                     attempt_policy& policy, http::Cancellation& cancellation);
  /** Processes finished attempts. Stores the last response in `outcome`, unless it is a server
   * error that is retried.
   */
  void processResults(attempt_group& group, attempt_policy& policy,
                      attempts_outcome& outcome) const;
  /** Starts an attempt. @return false if it was not admitted or no engine was found. */
  Task<bool> startAttempt(std::shared_ptr<forwarded_request> forwarded, attempt_group& group,
                          attempt_policy& policy, http::Cancellation& cancellation);

  forwarding_context context_;
};

}  // namespace linenpier::forward
