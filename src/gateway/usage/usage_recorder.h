#pragma once

/** @file
 * Port for counting requests that engines started to run.
 */

#include "common/ids.h"
#include "common/time.h"

namespace linenpier::usage {

class usage_recorder {
 public:
  virtual ~usage_recorder() = default;

  /** Records that an engine started a request of the tenant. Must be called once per request, even
   * if several engines run it.
   */
  virtual void onRequestStarted(const TenantId& tenant, Instant at) = 0;
};

}  // namespace linenpier::usage
