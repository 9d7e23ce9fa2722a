#pragma once

/** @file
 * Engines that this daemon has requests in flight at, or whose event time it measured recently.
 * Even a large service has few of these engines, so that their means and medians are cheap to
 * compute.
 */

#include <set>

#include "common/ids.h"
#include "common/time.h"
#include "gateway/engines/engine_latency.h"
#include "gateway/engines/engine_state.h"

namespace linenpier::engines {

/** Active engines of one `engine_table`. Holds pointers to the engines, so the table must remove an
 * engine from this set before erasing the engine.
 */
class active_engines {
 public:
  void add(const engine_state& engine) { this->engines_.insert(&engine); }
  void remove(const engine_state& engine) { this->engines_.erase(&engine); }
  /** Removes engines with neither requests in flight nor a recently measured event time. */
  void sweep(Instant now, const latency_options& options);

  /** @return the median of a service's recently measured event times in seconds; 0: none. */
  double medianEventTime(Instant now, const ServiceName& service,
                         const latency_options& options) const;
  /** @return the mean of the expected tokens per request in flight; 0: unknown. */
  double meanTokens() const;

 private:
  std::set<const engine_state*> engines_;
};

}  // namespace linenpier::engines
