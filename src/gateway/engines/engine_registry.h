#pragma once

/** @file
 * Public interface of this folder: the engines known to this daemon and the selection of an engine
 * for a request. Combines discovery (`engine_table`), admission (`engine_admission`), selection
 * (`engine_selector`) and the rate limit of cold engines (`cold_engine_limiter`), and updates the
 * health, load, latency and loading state of each engine from attempts. Does no I/O and is not
 * thread-safe: use it on one event loop only.
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
#include "gateway/routing/configuration.h"

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
  /** @param zone the zone of this daemon.
   * @param seed seed of this daemon's order of engines and of its tie breaks.
   */
  engine_registry(ZoneName zone, registry_options options, std::uint64_t seed)
      : options_(options),
        table_(options.record_expiry, seed),
        selector_(std::move(zone), options.selection, seed) {}

  // --- Configuration ---

  void setLayout(fleet::fleet_layout layout) { this->layout_ = std::move(layout); }
  const fleet::fleet_layout& layout() const { return this->layout_; }
  /** Stops new requests to engines of these zones. */
  void setClosedZones(fleet::closed_zones closed) {
    this->table_.setClosedZones(std::move(closed));
  }
  const fleet::closed_zones& closedZones() const { return this->table_.closedZones(); }
  void setServices(const std::map<ServiceName, routing::Service>& services);
  void setHeartbeat(Duration heartbeat);
  const registry_options& options() const { return this->options_; }

  // --- Discovery, see `engine_table` ---

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

  // --- Results of attempts ---

  void onAttemptStarted(Instant now, const EngineId& id);
  void onAttemptEnded(Instant now, const EngineId& id, HealthOutcome outcome);
  /** @param tokens memory that an attempt is expected to need; negative when it ends. */
  void addExpectedTokens(const EngineId& id, double tokens);
  /** Handles a request for the model that the engine rejected or did not answer, as while the
   * engine loads weights.
   */
  void onRequestRejected(Instant now, const EngineId& id, const ModelName& model);
  /** Handles a run of the model that the engine reset, as when the engine starts to load weights.
   */
  void onRunReset(Instant now, const EngineId& id, const ModelName& model);
  void onLoadReport(Instant now, const EngineId& id, const load_report& report);
  /** @param duration time between two events of a stream, or time of a response without a stream.
   */
  void onEventTime(Instant now, const EngineId& id, Duration duration);
  /** @param version the version in a response; 0: none. */
  void onVersionSeen(const EngineId& id, const ModelName& model, WeightVersion version) {
    this->table_.onVersionSeen(id, model, version);
  }

  // --- Admission and selection ---

  /** @return kNone if the engine may be sent the request. */
  AdmissionFailure admit(Instant now, const engine_state& engine,
                         const engine_request& request) const {
    return this->admission().admit(now, engine, request);
  }
  /** @return whether any engine may serve the request, even if it is full or ejected now. See
   *     `lastAdmissionFailures` if not.
   */
  bool isPlaceable(const engine_request& request) {
    return this->selector_.isPlaceable(request, this->table_, this->admission());
  }
  /** @return the engine with the shortest expected wait, or nullptr if none is admitted. */
  const engine_state* pick(Instant now, const engine_request& request) {
    return this->selector_.pick(now, request, this->table_, this->admission(), this->cold_limiter_,
                                this->options_.score);
  }
  /** @return the failures counted in the last call of `pick` or `isPlaceable`. */
  const admission_failure_counts& lastAdmissionFailures() const {
    return this->selector_.lastAdmissionFailures();
  }
  /** @return the number of engines checked in all selections so far. */
  std::uint64_t examined() const { return this->selector_.examined(); }
  cold_engine_limiter& coldLimiter() { return this->cold_limiter_; }
  const cold_engine_limiter& coldLimiter() const { return this->cold_limiter_; }

  // --- Load and latency ---

  /** @return the number of free slots of the engine, considering requests of other daemons;
   * negative if the engine is overloaded.
   */
  double freeSlots(Instant now, const EngineId& id) const;
  /** @return the engine's event time relative to the median of its service. If the event time or
   * the median is unknown, the long-term ratio from `latency_history`, which is 1 by default.
   */
  double latencyRatio(Instant now, const EngineId& id) const;
  /** Overload for callers that query many engines and compute the median only once. */
  double latencyRatio(Instant now, const engine_state& engine, double median_event_time) const {
    return engine.latency.ratio(now, median_event_time, this->options_.score.latency);
  }
  /** @return the engine's expected event time in seconds; 0 if its service has no recent
   * measurement.
   */
  double expectedEventTime(Instant now, const EngineId& id) const;
  /** @return the moving average of the engine's recent event times in seconds; 0: none. */
  double measuredEventTime(Instant now, const EngineId& id) const;
  /** @return the median of a service's recently measured event times in seconds; 0: none. */
  double medianEventTime(Instant now, const ServiceName& service) const {
    return this->table_.activeEngines().medianEventTime(now, service, this->options_.score.latency);
  }

  /** Discards the state kept for removed engines, and removes unused engines from `active_engines`.
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
