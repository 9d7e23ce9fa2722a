#pragma once

/** @file
 * Port through which the platform is ordered to run a number of engines.
 */

#include "common/ids.h"
#include "common/task.h"
#include "gateway/fleet/scaling_bounds.h"
#include "gateway/usage/usage_port.h"

namespace linenpier::scaling {

/** That a group of a service's engines shall have so many. */
struct scaling_order {
  ServiceName service;
  fleet::engine_group group;
  std::size_t count = 0;

  bool operator==(const scaling_order&) const = default;
};

class scaling_port {
 public:
  virtual ~scaling_port() = default;

  /** @return kFenced also where the platform has no such engines now: it does not tell one from the
   *     other.
   */
  virtual Task<usage::FencedCallResult> setEngineCount(scaling_order order,
                                                       usage::fenced_call_context proof) = 0;
};

}  // namespace linenpier::scaling
