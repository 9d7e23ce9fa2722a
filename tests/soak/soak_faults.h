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
  /** Connects the gateway to the other address of the store, and reloads its settings. */
  void changeStore(std::size_t gateway);
  Task<void> injectStoreFault();
  Task<void> injectEngineFault();
  void sendWithoutEnd(test::StandinSampler& engine);
  Task<void> phaseLoop();
  test::StoreOverload drawOverload();
  /** Stops gateways while the store is silent or their logs are not read, with streams under way
   * and further signals during the stop.
   */
  Task<void> stopLoop();
  Task<void> injectStop();
  /** Sends some more signals to a gateway that is stopping. */
  Task<void> repeatSignals(std::size_t gateway);
  /** Restarts each gateway with SIGTERM, one after the other. */
  Task<void> restartInTurn(Instant until);
  /** Resets or refuses the store's connections of some gateways. */
  void disturbStoreLinks(Instant until);
  Task<void> disturbLink(fault_proxy* link, Instant until, bool refuse, std::uint64_t seed);
  /** Changes where jobs may run and which services run them, in quick succession. */
  Task<void> configurationLoop();
  /** Excludes a region and allows it again, while an append of results is executed late and the
   * owners' releases of jobs are refused or executed late.
   */
  Task<void> excludeRegion();
  /** @return the regions, as JSON, where the owner of the job is not; any if it is not known. */
  std::string regionsWithoutOwner(const std::string& job);
  /** Sets the time between the events of a stream, at all model engines. */
  void setEventInterval(Duration interval);
  /** Splits the job route between services, one of which may have no engine. */
  void splitRoute();

  soak_world& world_;
  // For faults only, so that calls do not change their sequence.
  Random random_;
  Random phase_random_;
  Random configuration_random_;
  Random stop_random_;
  job_routing routing_;
  Instant end_{};           ///< No fault starts later.
  Instant slow_until_{};    ///< Until when events are slow because of a stop.
  Instant silent_until_{};  ///< Until when the store is silent because of a stop.
  std::size_t faults_ = 0;
};

}  // namespace linenpier::soak
