#pragma once

/** @file
 * The one retry rule: for plain requests, streams and internal requests such as reward calls.
 * Decides after each attempt whether there is another, and if not, which local reply the caller
 * gets. Pure.
 */

#include "common/time.h"
#include "gateway/forward/engine_call.h"
#include "gateway/routing/route_table.h"

namespace linenpier::forward {

/** The gateway's own reply when no engine's answer is passed on. */
enum class LocalReply {
  kNotRun,            ///< 503: it has not run and will not; the caller may retry.
  kMayHaveRun,        ///< 502.
  kDeadlineExceeded,  ///< 504: it may have run, and its deadline has passed.
};

/** The attempts of one request so far.
 *
 * A request that may run once only is sent again only while no attempt may have run it: each was
 * rejected by its engine, or could not be sent. An idempotent request is retried after any end, and
 * gets a second attempt beside the first (a hedge) after half the route's target latency; a
 * resumable stream is retried without hedges. The route's `max_attempts` bounds attempts that were
 * sent; engines that could not be reached are bounded apart by `kMaxUnreachable`.
 *
 * Invariant: the local reply is kNotRun only while no attempt may have run the request.
 */
class attempt_policy {
 public:
  attempt_policy(const routing::Route& route, Instant deadline)
      : repeatable_(route.repeatable()),
        idempotent_(route.kind == routing::RequestKind::kIdempotent),
        max_attempts_(route.max_attempts),
        hedge_delay_(route.target_latency / 2),
        deadline_(deadline) {}

  void onStarted(Instant now);
  void onEnded(AttemptOutcome outcome);

  /** @return whether another attempt may start now, beside those that run. */
  bool canStart(Instant now) const;
  /** @return when to ask `canStart` again, the deadline at the latest. */
  Instant nextCheck() const;
  /** @return whether an engine's failure (5xx) is tried elsewhere instead of passed on. */
  bool retriesServerErrors(Instant now) const;
  /** @return the reply if the request ends now without an engine's answer. */
  LocalReply localReply(Instant now) const;
  /** @return attempts that were sent, those that run included. */
  int started() const { return this->started_; }
  int running() const { return this->running_; }

 private:
  bool hasAttemptsLeft() const;

  bool repeatable_;
  bool idempotent_;
  int max_attempts_;
  Duration hedge_delay_;
  Instant deadline_;
  Instant last_start_{};
  int started_ = 0;      ///< Attempts, those that found their engine unreachable not counted.
  int unreachable_ = 0;  ///< Engines that could not be connected to.
  int running_ = 0;
  bool may_have_run_ = false;  ///< An attempt that ended may have run the request.
};

}  // namespace linenpier::forward
