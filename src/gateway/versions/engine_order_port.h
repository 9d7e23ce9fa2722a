#pragma once

/** @file
 * Port through which engines are ordered to load versions, in the platform's form.
 */

#include <string>

#include "common/task.h"
#include "gateway/versions/version_order.h"

namespace linenpier::versions {

class engine_order_port {
 public:
  virtual ~engine_order_port() = default;

  /** @param holder name of the leader, as the platform's orders carry it.
   * @param send_by the order is sent until then or not at all.
   */
  virtual Task<OrderResult> send(version_order order, std::string holder, FencingToken token,
                                 Instant send_by) = 0;
  /** @return nothing if the engine gave no answer. */
  virtual Task<std::optional<order_report>> report(EngineId engine, Address address) = 0;
};

}  // namespace linenpier::versions
