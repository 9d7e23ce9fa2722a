#pragma once

/** @file
 * Concurrent (hedged) attempts of one unary request. Event loop thread only.
 */

#include <memory>
#include <set>
#include <vector>

#include "common/task.h"
#include "gateway/forward/engine_call.h"
#include "gateway/forward/forwarding_context.h"

namespace linenpier::forward {

/** The concurrent attempts of one request. A group must be owned by a shared_ptr, since aborted
 * attempts may finish after the reply was sent.
 */
class attempt_group : public std::enable_shared_from_this<attempt_group> {
 public:
  struct result {
    AttemptOutcome outcome = AttemptOutcome::kBroken;
    http::Response response;  ///< Engine response; complete if `outcome` is kAnswered.
  };

  attempt_group(const forwarding_context& context, std::shared_ptr<forwarded_request> forwarded)
      : context_(context), forwarded_(std::move(forwarded)), changed_(context.loop) {}

  /** Starts an attempt on an engine that this request has not used yet.
   * @return whether an engine was found.
   */
  bool start(const suspects::sent_attempt& attempt);
  /** @return the attempts that finished since the last call, in order of completion. */
  std::vector<result> takeResults();
  /** Returns when an attempt finishes, when `notify` is called, or after `limit`. */
  Task<void> waitForChange(Duration limit);
  void notify() { this->changed_.notifyAll(); }
  void abortAll();

 private:
  Task<void> run(std::shared_ptr<engine_call> call, suspects::sent_attempt attempt,
                 bool fresh_connection);
  /** Reads the complete engine response into `response`. */
  Task<AttemptOutcome> readResponse(engine_call& call, bool fresh_connection,
                                    http::Response& response);

  forwarding_context context_;
  std::shared_ptr<forwarded_request> forwarded_;
  Signal changed_;
  std::vector<result> results_;  ///< Results not yet returned by `takeResults`.
  std::vector<std::shared_ptr<engine_call>> running_;
  std::set<EngineId> tried_;
};

}  // namespace linenpier::forward
