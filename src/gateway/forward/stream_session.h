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

/** Session that serves one client stream, with one attempt at a time. The session must outlive the
 * coroutine `run`.
 */
class stream_session {
 public:
  /** If the request has a Last-Event-ID field, the stream resumes after the event of that id. */
  stream_session(const forwarding_context& context, forwarded_request& forwarded,
                 http::ResponseWriter& writer);

  /** Serves the request with a stream, an engine's error response or a local reply, or aborts the
   * connection.
   */
  Task<void> run();

 private:
  /** @return whether an engine response was relayed to its end. */
  Task<bool> runAttempts();
  /** @return the engine for the next attempt; nullptr if no engine is admitted. */
  const engines::engine_state* pickEngine();
  void startCall(Instant now, const engines::engine_state& engine);
  /** Relays the response of the current engine call and reports the outcome of the attempt. */
  Task<AttemptOutcome> runCall(suspects::sent_attempt attempt);
  /** Relays the response of the current engine call. */
  Task<AttemptOutcome> relay();
  Task<AttemptOutcome> relayEvents(engine_call& call);
  /** Relays a response that is not a stream, such as an error. */
  Task<AttemptOutcome> relayUnary(engine_call& call);
  /** Appends events to `bytes`. @return false if the event ids are not consecutive. */
  bool appendEvents(const std::vector<stream_event>& events, std::string& bytes);
  /** Sends the response header unless it was already sent.
   * @return false if the client disconnected.
   */
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
  /** Id of the last event sent to the client, in this or an earlier request. */
  std::optional<std::uint64_t> last_event_id_;
  std::set<EngineId> tried_;
  bool fresh_connection_ = false;  ///< Whether the current attempt needs a new connection.
  /** Latest attempt; remains set after the attempt ended. */
  std::shared_ptr<engine_call> latest_call_;
};

}  // namespace linenpier::forward
