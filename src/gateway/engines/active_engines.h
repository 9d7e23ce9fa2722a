#pragma once

/** @file
 * The engines that this daemon uses: with requests in flight or a recent event time. Few of a large
 * service, so that sums and medians over them cost little at each choice.
 */

#include <set>

#include "common/ids.h"
#include "common/time.h"
#include "gateway/engines/engine_latency.h"
#include "gateway/engines/engine_state.h"

namespace linenpier::engines {

/** Points to engines of an `engine_table`. Invariant: the table removes an engine here before it
 * removes the engine itself.
 */
class active_engines {
 public:
  void add(const engine_state& engine) { this->engines_.insert(&engine); }
  void remove(const engine_state& engine) { this->engines_.erase(&engine); }
  /** Drops engines without requests and without a recent event time. */
  void sweep(Instant now, const latency_options& options);

  /** @return the median of the recent event times of the service's engines, in seconds; 0 if there
   *     is none.
   */
  double medianEventTime(Instant now, const ServiceName& service,
                         const latency_options& options) const;
  /** @return memory that a request of this daemon is expected to need, in the mean; 0 if none is in
   *     flight with such an expectation.
   */
  double meanTokens() const;

 private:
  std::set<const engine_state*> engines_;
};

}  // namespace linenpier::engines
