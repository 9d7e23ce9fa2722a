#pragma once

/** @file
 * Port for ordering engines to load versions.
 */

#include <string>

#include "common/task.h"
#include "gateway/versions/version_order.h"

namespace linenpier::versions {

class engine_order_port {
 public:
  virtual ~engine_order_port() = default;

  /** @param holder name of the leader, sent with the order.
   * @param send_by the order is not sent after this time.
   */
  virtual Task<OrderResult> send(version_order order, std::string holder, FencingToken token,
                                 Instant send_by) = 0;
  /** @return the engine's report; nothing if the engine did not respond. */
  virtual Task<std::optional<order_report>> report(EngineId engine, Address address) = 0;
};

}  // namespace linenpier::versions
