#pragma once

/** @file
 * Admission: whether an engine may be sent a request, and if not, why. Requests of callers, items,
 * resumed runs, reward calls and moves all ask here. Pure.
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

/** The checks, over what they look at. Made for a call; everything referred to must outlive it. */
class engine_admission {
 public:
  engine_admission(const fleet::closed_zones& closed, const fleet::fleet_layout& layout,
                   const cold_engine_limiter& cold, const load_options& load)
      : closed_(closed), layout_(layout), cold_limiter_(cold), load_(load) {}

  /** Runs the checks in the order of `AdmissionFailure` and stops at the first that refuses: what
   * the operator and the request forbid, what passes by itself within seconds, and what a last
   * resort passes over (ejected, excluded).
   */
  AdmissionFailure admit(Instant now, const engine_state& engine,
                         const engine_request& request) const;
  /** The checks that no waiting passes: service, draining, closed zone, residency. */
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
