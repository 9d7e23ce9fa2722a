#pragma once

/** @file
 * One stream of a client: passes an engine's events on as they come, and goes on at another engine
 * where the route allows it. Loop thread only.
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

/** Lives until `run` has returned; one attempt runs at a time. */
class stream_session {
 public:
  /** Reads where the client wants to go on from the request's field of the last event. */
  stream_session(const forwarding_context& context, forwarded_request& forwarded,
                 http::ResponseWriter& writer);

  /** Serves the request: with a stream, an engine's error, a local reply, or by breaking off. */
  Task<void> run();

 private:
  /** @return whether an engine's answer was passed on to its end. */
  Task<bool> runAttempts();
  /** @return nullptr if no engine is admitted. */
  const engines::engine_state* pickEngine();
  void startCall(Instant now, const engines::engine_state& engine);
  /** Reads the call to its end and reports it. */
  Task<AttemptOutcome> runCall(suspects::sent_attempt attempt);
  /** Passes on what the running call answers. */
  Task<AttemptOutcome> relay();
  Task<AttemptOutcome> relayEvents(engine_call& call);
  /** Passes on an answer that is no stream, such as an error. */
  Task<AttemptOutcome> relayUnary(engine_call& call);
  /** Appends events to `bytes`. @return whether they continue what the client has. */
  bool appendEvents(const std::vector<stream_event>& events, std::string& bytes);
  /** Sends the head of the engine's stream unless the client has one already.
   * @return whether the client is still there.
   */
  Task<bool> ensureStreamBegun(engine_call& call);
  /** Ends a request that no engine's answer was passed on to its end for. */
  Task<void> endWithoutResponse();
  /** @return until when the engine must say something. */
  Instant readDeadline() const;
  bool cancelled() const { return this->writer_.cancellation().requested(); }

  forwarding_context context_;
  forwarded_request& forwarded_;
  http::ResponseWriter& writer_;
  attempt_policy policy_;
  const bool resumable_;
  bool head_sent_ = false;
  std::optional<std::uint64_t>
      last_event_id_;  ///< Id that the client has, by us or by its own word.
  std::set<EngineId> tried_;
  std::shared_ptr<engine_call> running_;  ///< The newest attempt, also after its end.
};

}  // namespace linenpier::forward
