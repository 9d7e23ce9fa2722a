#pragma once

/** @file
 * Expected wait of a request at an engine, the score by which engines are compared. Does no I/O.
 */

#include "common/ids.h"
#include "common/time.h"
#include "gateway/engines/cold_engine_limiter.h"
#include "gateway/engines/engine_latency.h"
#include "gateway/engines/engine_load.h"
#include "gateway/engines/engine_request.h"
#include "gateway/engines/engine_state.h"

namespace linenpier::engines {

struct score_options {
  double remote_factor = 1.15;  ///< Factor of the expected wait for engines of other zones.
  load_options load;
  latency_options latency;
};

/** Inputs that are the same for all candidates of one selection. */
struct score_context {
  /** Median event time over the service's engines in seconds; 0: unknown. */
  double median_event_time = 0;
  /** Mean tokens of this daemon's requests in flight; 0: unknown or unused. */
  double mean_tokens = 0;
  bool many_engines = false;  ///< Whether the service has more engines than a selection compares.
  WeightVersion newest = 0;   ///< Newest weight version that any engine holds; 0: not used.
};

/** Scores engines for one request at one point in time. Holds references only. */
class engine_scorer {
 public:
  /** @param zone the zone of this daemon. */
  engine_scorer(Instant now, const engine_request& request, const score_context& context,
                const ZoneName& zone, const cold_engine_limiter& cold, const score_options& options)
      : now_(now),
        request_(request),
        context_(context),
        zone_(zone),
        cold_limiter_(cold),
        options_(options) {}

  /** @return the relative time until the engine answers: 1 for an idle engine that is in this
   *     daemon's zone and has the median event time of its service.
   */
  double expectedWait(const engine_state& engine) const;
  /** @return a factor of the expected wait for engines with an older version and for those that are
   *     used as a last resort only.
   */
  double penaltyFactor(const engine_state& engine) const;

 private:
  /** @return a factor that grows as the engine's memory fills: an engine that runs out of memory
   *     preempts requests and has to compute them again.
   */
  double memoryFactor(const engine_state& engine) const;
  double coldFactor(const engine_state& engine) const;

  Instant now_;
  const engine_request& request_;
  const score_context& context_;
  const ZoneName& zone_;
  const cold_engine_limiter& cold_limiter_;
  const score_options& options_;
};

}  // namespace linenpier::engines
