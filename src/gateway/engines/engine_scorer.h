#pragma once

/** @file
 * The expected wait of a request at an engine, by which a choice compares engines. Pure.
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
  double remote_factor = 1.15;  ///< Engines of other zones count as this much slower.
  load_options load;
  latency_options latency;
};

/** What is the same for all engines that one choice compares. */
struct score_context {
  double median_event_time = 0;  ///< Of the service's engines, in seconds; 0: none is known.
  double mean_tokens = 0;        ///< Of a request of this daemon; 0 where memory is not bounded.
  bool many_engines = false;     ///< The service has more than a choice compares.
  WeightVersion newest = 0;      ///< That an engine holds; 0 where it does not matter.
};

/** Scores engines for one request at one moment. Made for a call; everything referred to must
 * outlive it.
 */
class engine_scorer {
 public:
  /** @param zone of this daemon. */
  engine_scorer(Instant now, const engine_request& request, const score_context& context,
                const ZoneName& zone, const cold_engine_limiter& cold, const score_options& options)
      : now_(now),
        request_(request),
        context_(context),
        zone_(zone),
        cold_limiter_(cold),
        options_(options) {}

  /** @return a number without unit that grows with the time until the engine answers: 1 for an
   *     idle engine of the median event time in this daemon's zone.
   */
  double expectedWait(const engine_state& engine) const;
  /** @return by how much the expected wait of an engine counts more because the request would
   *     rather not go there: it holds an older version, or is taken as a last resort only.
   */
  double penaltyFactor(const engine_state& engine) const;

 private:
  /** An engine whose memory runs out puts requests back, which then wait and are read anew. */
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
