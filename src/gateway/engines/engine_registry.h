#pragma once

/** @file
 * The engines that this daemon knows of, and which of them gets a request. The face of this folder:
 * composes discovery (`engine_table`), admission (`engine_admission`), the choice
 * (`engine_selector`) and the bound on cold engines (`cold_engine_limiter`), and tells the state of
 * each engine (health, load, latency, loading) what attempts at it showed. Pure state with one
 * owner, which calls it on its event loop only.
 */

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/address.h"
#include "common/ids.h"
#include "common/time.h"
#include "gateway/engines/cold_engine_limiter.h"
#include "gateway/engines/engine_admission.h"
#include "gateway/engines/engine_request.h"
#include "gateway/engines/engine_selector.h"
#include "gateway/engines/engine_state.h"
#include "gateway/engines/engine_table.h"
#include "gateway/fleet/closed_zones.h"
#include "gateway/fleet/fleet_layout.h"
#include "gateway/routing/route_table.h"

namespace linenpier::engines {

struct registry_options {
  record_expiry_options record_expiry;
  health_options health;
  loading_options loading;
  score_options score;
  selection_options selection;
};

class engine_registry {
 public:
  /** @param zone of this daemon.
   * @param seed of its order of engines and of its tie breaks.
   */
  engine_registry(ZoneName zone, registry_options options, std::uint64_t seed)
      : options_(options),
        table_(options.record_expiry, seed),
        selector_(std::move(zone), options.selection, seed) {}

  // --- Configuration ---

  void setLayout(fleet::fleet_layout layout) { this->layout_ = std::move(layout); }
  const fleet::fleet_layout& layout() const { return this->layout_; }
  /** Engines of these zones get nothing new from now on. */
  void setClosedZones(fleet::closed_zones closed) {
    this->table_.setClosedZones(std::move(closed));
  }
  const fleet::closed_zones& closedZones() const { return this->table_.closedZones(); }
  /** @param services of the configuration in force. */
  void setServices(const std::map<ServiceName, routing::Service>& services);
  /** The platform's settings may change while the daemon runs. */
  void setHeartbeat(Duration heartbeat);
  const registry_options& options() const { return this->options_; }

  // --- Discovery: see `engine_table` ---

  RecordEffect onRecord(Instant now, const engine_record& record);
  std::vector<Address> removeMissing(Instant now, const std::set<EngineId>& present) {
    return this->table_.removeMissing(now, present);
  }
  std::optional<Address> onInvalidRecord(const EngineId& id) {
    return this->table_.onInvalidRecord(id);
  }
  std::optional<Address> onRemoved(Instant now, const EngineId& id) {
    return this->table_.onRemoved(now, id);
  }
  void onStoreReconnected(Instant now, Duration outage) {
    this->table_.onStoreReconnected(now, outage);
  }
  std::vector<engine_record> removeExpired(Instant now) { return this->table_.removeExpired(now); }
  const engine_state* find(const EngineId& id) const { return this->table_.find(id); }
  const engine_list& availableEngines(const ServiceName& service) const {
    return this->table_.availableEngines(service);
  }
  const engine_index::engine_order& allEngines(const ServiceName& service) const {
    return this->table_.allEngines(service);
  }
  const std::map<EngineId, engine_state>& all() const { return this->table_.all(); }

  // --- What attempts show ---

  void onAttemptStarted(Instant now, const EngineId& id);
  void onAttemptEnded(Instant now, const EngineId& id, AttemptOutcome outcome);
  /** @param tokens memory that an attempt is expected to need; negative at its end. */
  void addExpectedTokens(const EngineId& id, double tokens);
  /** The engine rejected a request for the model, as it does while it loads weights. */
  void onModelRejected(Instant now, const EngineId& id, const ModelName& model);
  /** The engine reset a run of the model, as it does when it begins to load weights. */
  void onModelReset(Instant now, const EngineId& id, const ModelName& model);
  void onLoadReport(Instant now, const EngineId& id, const load_report& report);
  /** An event or an answer took `duration`. */
  void onEventTime(Instant now, const EngineId& id, Duration duration);
  /** @param version that an answer named; 0: it named none. */
  void onVersionSeen(const EngineId& id, const ModelName& model, WeightVersion version) {
    this->table_.onVersionSeen(id, model, version);
  }

  // --- Admission and choice ---

  /** @return whether the engine may be sent the request, and if not, why. */
  AdmissionFailure admit(Instant now, const engine_state& engine,
                         const engine_request& request) const {
    return this->admission().admit(now, engine, request);
  }
  /** @return whether an engine is where the request may be served; it may be full, or away for a
   *     while. If none is, `lastAdmissionFailures` tells why.
   */
  bool isPlaceable(const engine_request& request) {
    return this->selector_.isPlaceable(request, this->table_, this->admission());
  }
  /** @return the engine that should answer soonest, or nullptr if none is admitted. */
  const engine_state* pick(Instant now, const engine_request& request) {
    return this->selector_.pick(now, request, this->table_, this->admission(), this->cold_limiter_,
                                this->options_.score);
  }
  /** @return why engines were refused when none was found at the last choice. */
  const admission_failure_counts& lastAdmissionFailures() const {
    return this->selector_.lastAdmissionFailures();
  }
  /** @return engines that choices have examined so far. */
  std::uint64_t examined() const { return this->selector_.examined(); }
  cold_engine_limiter& coldLimiter() { return this->cold_limiter_; }
  const cold_engine_limiter& coldLimiter() const { return this->cold_limiter_; }

  // --- Load and latency ---

  /** @return how many more requests the engine has slots for, counting those of others; below 0 if
   *     it is overfull.
   */
  double freeSlots(Instant now, const EngineId& id) const;
  /** @return the engine's event time over the median of its service; the ratio of its history if
   *     it was not measured lately; 1 if nothing is known.
   */
  double latencyRatio(Instant now, const EngineId& id) const;
  /** The same where the median is known, as for many engines in a row. */
  double latencyRatio(Instant now, const engine_state& engine, double median_event_time) const {
    return engine.latency.ratio(now, median_event_time, this->options_.score.latency);
  }
  /** @return seconds that an event or answer of the engine is expected to take; 0 if nothing is
   *     known of its service.
   */
  double expectedEventTime(Instant now, const EngineId& id) const;
  /** @return the smoothed event time that was measured lately, in seconds; 0: none was. */
  double measuredEventTime(Instant now, const EngineId& id) const;
  /** @return the median of the event times measured lately, in seconds; 0: none was. */
  double medianEventTime(Instant now, const ServiceName& service) const {
    return this->table_.activeEngines().medianEventTime(now, service, this->options_.score.latency);
  }

  /** Forgets the sends to engines that were removed long ago, and engines that are no longer used.
   */
  void sweep(Instant now);

 private:
  engine_admission admission() const {
    return {this->table_.closedZones(), this->layout_, this->cold_limiter_,
            this->options_.score.load};
  }

  registry_options options_;
  fleet::fleet_layout layout_;
  engine_table table_;
  cold_engine_limiter cold_limiter_;
  engine_selector selector_;
};

}  // namespace linenpier::engines
