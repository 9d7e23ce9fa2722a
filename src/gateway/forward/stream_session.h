#pragma once

/** @file
 * One client stream: relays an engine's events as they arrive, and resumes on another engine if the
 * route allows it. Event loop thread only.
 */

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/forward/attempt_policy.h"
#include "gateway/forward/engine_call.h"
#include "gateway/forward/forwarding_context.h"
#include "gateway/http/server.h"

namespace linenpier::forward {

/** Must outlive `run`. Runs one attempt at a time. */
class stream_session {
 public:
  /** Resumes after the event that the request's Last-Event-ID field names, if any. */
  stream_session(const forwarding_context& context, forwarded_request& forwarded,
                 http::ResponseWriter& writer);

  /** Serves the request with a stream, an engine's error response or a local reply, or aborts the
   * connection.
   */
  Task<void> run();

 private:
  /** @return whether an engine response was relayed to its end. */
  Task<bool> runAttempts();
  /** @return nullptr if no engine is admitted. */
  const engines::engine_state* pickEngine();
  void startCall(Instant now, const engines::engine_state& engine);
  /** Relays the response of the current call and reports the outcome. */
  Task<AttemptOutcome> runCall(suspects::sent_attempt attempt);
  /** Relays the response of the current call. */
  Task<AttemptOutcome> relay();
  Task<AttemptOutcome> relayEvents(engine_call& call);
  /** Relays a response that is not a stream, such as an error. */
  Task<AttemptOutcome> relayUnary(engine_call& call);
  /** Appends events to `bytes`. @return false if the event ids are not consecutive. */
  bool appendEvents(const std::vector<stream_event>& events, std::string& bytes);
  /** Sends the response header unless already sent. @return false if the client disconnected. */
  Task<bool> ensureStreamBegun(engine_call& call);
  /** Ends a request whose response was not relayed to its end. */
  Task<void> endWithoutResponse();
  /** @return the deadline for the next data from the engine. */
  Instant readDeadline() const;
  bool cancelled() const { return this->writer_.cancellation().requested(); }

  forwarding_context context_;
  forwarded_request& forwarded_;
  http::ResponseWriter& writer_;
  attempt_policy policy_;
  const bool resumable_;
  bool head_sent_ = false;
  /** Last event sent to the client, in this or an earlier request. */
  std::optional<std::uint64_t> last_event_id_;
  std::set<EngineId> tried_;
  std::shared_ptr<engine_call> latest_call_;  ///< Remains set after the attempt ended.
};

}  // namespace linenpier::forward
