#pragma once

/** @file
 * Faults of a soak test, drawn from its seed: short ones, which may overlap, and long overload
 * phases, in which several faults of the store act at once while the gateways are restarted.
 * Test code.
 */

#include "soak/soak_world.h"

namespace linenpier::soak {

/** Loop thread only; must outlive the loop. */
class soak_faults {
 public:
  explicit soak_faults(soak_world& world);

  void start();
  /** @return the number of faults so far. A phase counts as one. */
  std::size_t count() const { return this->faults_; }

 private:
  Task<void> faultLoop();
  Task<void> injectLinkFault();
  Task<void> injectProcessFault();
  Task<void> injectStoreFault();
  Task<void> injectEngineFault();
  Task<void> phaseLoop();
  test::StoreOverload drawOverload();
  /** Restarts each gateway with SIGTERM, one after the other. */
  Task<void> restartInTurn(Instant until);
  /** Resets or refuses the store's connections of some gateways. */
  void disturbStoreLinks(Instant until);
  Task<void> disturbLink(fault_proxy* link, Instant until, bool refuse, std::uint64_t seed);

  soak_world& world_;
  // For faults only, so that calls do not change their sequence.
  Random random_;
  Random phase_random_;
  Instant end_{};  ///< No fault starts later.
  std::size_t faults_ = 0;
};

}  // namespace linenpier::soak
