#pragma once

/** @file
 * Checks whether an engine may be sent a request. Used for requests of callers, batch items,
 * resumed runs, reward calls and moved runs. Does no I/O.
 */

#include "common/time.h"
#include "gateway/engines/admission_failure.h"
#include "gateway/engines/cold_engine_limiter.h"
#include "gateway/engines/engine_load.h"
#include "gateway/engines/engine_request.h"
#include "gateway/engines/engine_state.h"
#include "gateway/fleet/closed_zones.h"
#include "gateway/fleet/fleet_layout.h"

namespace linenpier::engines {

/** Admission checks of engines. Holds references only, so an object must be used for a single call.
 */
class engine_admission {
 public:
  engine_admission(const fleet::closed_zones& closed, const fleet::fleet_layout& layout,
                   const cold_engine_limiter& cold, const load_options& load)
      : closed_(closed), layout_(layout), cold_limiter_(cold), load_(load) {}

  /** Runs the checks in the order of `AdmissionFailure` and returns the first failure: conditions
   * set by the operator or the request, then those that clear within seconds, then those that a
   * request with `last_resort` ignores (ejected, excluded).
   */
  AdmissionFailure admit(Instant now, const engine_state& engine,
                         const engine_request& request) const;
  /** Runs only the checks whose failure does not clear by waiting: service, draining, closed zone
   * and residency. */
  AdmissionFailure checkPlacement(const engine_state& engine, const engine_request& request) const;

 private:
  static AdmissionFailure checkVersion(const engine_state& engine, const engine_request& request);
  bool isFull(Instant now, const engine_state& engine, const engine_request& request) const;

  const fleet::closed_zones& closed_;
  const fleet::fleet_layout& layout_;
  const cold_engine_limiter& cold_limiter_;
  const load_options& load_;
};

}  // namespace linenpier::engines
