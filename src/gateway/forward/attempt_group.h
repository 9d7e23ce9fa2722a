#pragma once

/** @file
 * Attempts of one plain request, which may run beside each other (hedging). Loop thread only.
 */

#include <memory>
#include <set>
#include <vector>

#include "common/task.h"
#include "gateway/forward/engine_call.h"
#include "gateway/forward/forwarding_context.h"

namespace linenpier::forward {

/** Held by a shared pointer: attempts that were aborted end after the request has its reply. */
class attempt_group : public std::enable_shared_from_this<attempt_group> {
 public:
  struct result {
    AttemptOutcome outcome = AttemptOutcome::kBroken;
    http::Response response;  ///< Complete if `outcome` is kAnswered.
  };

  attempt_group(const forwarding_context& context, std::shared_ptr<forwarded_request> forwarded)
      : context_(context), forwarded_(std::move(forwarded)), changed_(context.loop) {}

  /** Starts an attempt at an engine that has none of this request yet.
   * @return whether an engine was found.
   */
  bool start(const suspects::sent_attempt& attempt);
  /** @return the attempts that ended since the last call, in their order. */
  std::vector<result> takeResults();
  /** Returns once an attempt has ended, after `notify`, or after `limit`. */
  Task<void> waitForChange(Duration limit);
  void notify() { this->changed_.notifyAll(); }
  void abortAll();

 private:
  Task<void> run(std::shared_ptr<engine_call> call, suspects::sent_attempt attempt);
  /** Reads a complete answer into `response`. */
  Task<AttemptOutcome> readResponse(engine_call& call, http::Response& response);

  forwarding_context context_;
  std::shared_ptr<forwarded_request> forwarded_;
  Signal changed_;
  std::vector<result> results_;  ///< Not taken yet.
  std::vector<std::shared_ptr<engine_call>> running_;
  std::set<EngineId> tried_;
};

}  // namespace linenpier::forward
