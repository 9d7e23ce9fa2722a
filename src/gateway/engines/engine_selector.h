#pragma once

/** @file
 * Which of the admitted engines gets a request: the one with the least expected wait among the
 * first `max_candidates` in this daemon's order. Owns the random source of the tie break and the
 * refusals of the last choice. Pure.
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
  /** Admitted engines that a choice compares. Among so many some are little loaded by chance, and
   * more gain next to nothing; the cost of a choice does not grow with the service.
   */
  std::size_t max_candidates = 64;
};

class engine_selector {
 public:
  /** @param zone of this daemon. */
  engine_selector(ZoneName zone, selection_options options, std::uint64_t seed)
      : zone_(std::move(zone)), options_(options), random_(seed) {}

  /** @return the engine that should answer soonest, or nullptr if none is admitted. */
  const engine_state* pick(Instant now, const engine_request& request, engine_table& engines,
                           const engine_admission& admission, cold_engine_limiter& cold,
                           const score_options& score);
  /** @return whether an engine is where the request may be served; it may be full, or away for a
   *     while.
   */
  bool isPlaceable(const engine_request& request, const engine_table& engines,
                   const engine_admission& admission);
  /** @return why engines were refused at the last call of the above that found none. */
  const admission_failure_counts& lastAdmissionFailures() const { return this->last_failures_; }
  /** @return engines that all choices so far have examined, refused ones among them. */
  std::uint64_t examined() const { return this->examined_; }

 private:
  /** One choice under way: its rules, and the best engine so far. */
  struct comparison {
    Instant now;
    const engine_request& request;
    const engine_admission& admission;
    const engine_scorer& scorer;
    cold_engine_limiter& cold;
    const engine_state* best = nullptr;
    double wait = 0;  ///< Of the best one.
    std::size_t compared = 0;
  };

  score_context makeScoreContext(Instant now, const engine_request& request, engine_table& engines,
                                 const score_options& score) const;
  /** Compares the engines in this daemon's order until there are enough. */
  void compareEngines(comparison& current, const engine_index::engine_order& engines);
  /** Compares those that hold a version that the request takes, newest version first. */
  void compareByVersion(comparison& current, const engine_index::version_index& versions);
  bool isAdmitted(comparison& current, const engine_state& engine);
  /** @return a factor between 1 and 1.05, which decides between equal engines. */
  double jitter();

  ZoneName zone_;
  selection_options options_;
  Random random_;
  admission_failure_counts last_failures_;
  std::uint64_t examined_ = 0;
};

}  // namespace linenpier::engines
