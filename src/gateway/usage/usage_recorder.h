#pragma once

/** @file
 * Port through which requests that engines began to run are counted.
 */

#include "common/ids.h"
#include "common/time.h"

namespace linenpier::usage {

class usage_recorder {
 public:
  virtual ~usage_recorder() = default;

  /** An engine began to run a request of the tenant at that time. Called once a request, however
   * many engines run it.
   */
  virtual void onRequestStarted(const TenantId& tenant, Instant at) = 0;
};

}  // namespace linenpier::usage
