#pragma once

/** @file
 * Selects the engine for a request: the one with the shortest expected wait among the first
 * `max_candidates` admitted engines in this daemon's order (see `engine_index`). Ties are broken at
 * random. Does no I/O.
 */

#include <cstddef>
#include <cstdint>

#include "common/ids.h"
#include "common/random.h"
#include "common/time.h"
#include "gateway/engines/admission_failure.h"
#include "gateway/engines/cold_engine_limiter.h"
#include "gateway/engines/engine_admission.h"
#include "gateway/engines/engine_index.h"
#include "gateway/engines/engine_request.h"
#include "gateway/engines/engine_scorer.h"
#include "gateway/engines/engine_table.h"

namespace linenpier::engines {

struct selection_options {
  /** Maximum number of admitted engines that a selection compares. Bounds the cost of a selection
   * in a large service.
   */
  std::size_t max_candidates = 64;
};

class engine_selector {
 public:
  /** @param zone the zone of this daemon. */
  engine_selector(ZoneName zone, selection_options options, std::uint64_t seed)
      : zone_(std::move(zone)), options_(options), random_(seed) {}

  /** @return the engine with the shortest expected wait, or nullptr if none is admitted. */
  const engine_state* pick(Instant now, const engine_request& request, engine_table& engines,
                           const engine_admission& admission, cold_engine_limiter& cold,
                           const score_options& score);
  /** @return whether any engine passes `checkPlacement`; it may still be full or ejected. */
  bool isPlaceable(const engine_request& request, const engine_table& engines,
                   const engine_admission& admission);
  /** @return the failures counted in the last call of `pick` or `isPlaceable`. */
  const admission_failure_counts& lastAdmissionFailures() const { return this->last_failures_; }
  /** @return the number of engines checked in all selections so far. */
  std::uint64_t examined() const { return this->examined_; }

 private:
  /** State of one selection. */
  struct comparison {
    Instant now;
    const engine_request& request;
    const engine_admission& admission;
    const engine_scorer& scorer;
    cold_engine_limiter& cold;
    const engine_state* best = nullptr;
    double wait = 0;  ///< Expected wait of the request at the engine `best`.
    std::size_t compared = 0;
  };

  score_context makeScoreContext(Instant now, const engine_request& request, engine_table& engines,
                                 const score_options& score) const;
  /** Compares admitted engines in this daemon's order, up to `max_candidates`. */
  void compareEngines(comparison& current, const engine_index::engine_order& engines);
  /** Compares the engines with an accepted version, newest version first. */
  void compareByVersion(comparison& current, const engine_index::version_index& versions);
  bool isAdmitted(comparison& current, const engine_state& engine);
  /** @return a random factor from 1 to 1.05 that breaks ties. */
  double jitter();

  ZoneName zone_;
  selection_options options_;
  Random random_;
  admission_failure_counts last_failures_;
  std::uint64_t examined_ = 0;
};

}  // namespace linenpier::engines
