#pragma once

/** @file
 * Told of each request of a tenant that an engine began to run.
 */

#include "common/ids.h"
#include "common/time.h"

namespace linenpier::usage {

class run_recorder {
 public:
  virtual ~run_recorder() = default;

  /** Called once a request, however many engines ran it. */
  virtual void onBegun(const TenantId& tenant, Instant at) = 0;
};

}  // namespace linenpier::usage
