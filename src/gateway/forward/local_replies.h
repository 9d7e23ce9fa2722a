#pragma once

/** @file
 * Replies that the gateway makes itself: their status and their Retry-After. Loop thread only.
 */

#include <string>

#include "gateway/forward/attempt_policy.h"
#include "gateway/forward/forwarded_request.h"

namespace linenpier::forward {

struct local_reply_options {
  Duration retry_after = std::chrono::milliseconds(250);
  /** Where the operator closed the zones of the engines. Zones stay closed for seconds at least, so
   * that an earlier retry would only be refused again.
   */
  Duration retry_after_closed = std::chrono::seconds(1);
};

/** @return the HTTP status of the reply. */
unsigned statusOf(LocalReply reply);

class local_replies {
 public:
  local_replies(const field_names& names, suspects::suspect_tracker& suspects,
                local_reply_options options)
      : names_(names), suspects_(suspects), options_(options) {}

  /** @param id of the request; empty: it names none.
   * @return a reply without a body; 503 and 429 say when to come back.
   */
  http::Response make(unsigned status, const std::string& id) const;

  /** The reply to a request whose attempts are over without an answer to pass on. Says when to come
   * back: later than usual where closed zones kept engines away, or while the request must wait as
   * a suspect.
   */
  http::Response makeFinal(forwarded_request& forwarded, LocalReply reply) const;

 private:
  const field_names& names_;
  suspects::suspect_tracker& suspects_;
  local_reply_options options_;
};

}  // namespace linenpier::forward
