#pragma once

/** @file
 * Port for setting the number of engines at the platform.
 */

#include "common/ids.h"
#include "common/task.h"
#include "gateway/fleet/scaling_bounds.h"
#include "gateway/usage/usage_port.h"

namespace linenpier::scaling {

/** An order to set the number of engines in a group of a service. */
struct scaling_order {
  ServiceName service;
  fleet::engine_group group;
  std::size_t count = 0;

  bool operator==(const scaling_order&) const = default;
};

class scaling_port {
 public:
  virtual ~scaling_port() = default;

  /** @return the result of the order; kFenced for an outdated token or a lack of capacity, which
   * the platform's response does not distinguish.
   */
  virtual Task<usage::FencedCallResult> setEngineCount(scaling_order order,
                                                       usage::fenced_call_context context) = 0;
};

}  // namespace linenpier::scaling
