#pragma once

/** @file
 * Discovery: which engines there are, from the records of the platform's table, and the zones that
 * the operator closed. Owns the state of each engine and the indexes over them. Pure.
 */

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/address.h"
#include "common/ids.h"
#include "common/time.h"
#include "gateway/engines/active_engines.h"
#include "gateway/engines/engine_index.h"
#include "gateway/engines/engine_state.h"
#include "gateway/fleet/closed_zones.h"

namespace linenpier::engines {

/** What a record that was received changed. */
enum class RecordEffect {
  kNew,
  kUpdated,
  kRestarted,  ///< The engine started again under its id: nothing known of it before holds.
  kOutdated,   ///< An earlier start of the engine wrote it: it was ignored.
};

/** Engines can't renew their records during a store outage: the records expire and are deleted just
 * after the store is back, although their engines still serve.
 */
struct record_expiry_options {
  /** After the store's return expired records are back within this time, or their engines are lost.
   * A little less than the two seconds that the platform states.
   */
  Duration expiry_grace = std::chrono::milliseconds(1900);
  /** Between two heartbeats of an engine, as the platform sets it. */
  Duration heartbeat = kDefaultEngineHeartbeat;
  /** An outage of fewer heartbeats expires no record: that takes three missed
   * heartbeats, the first of which may have been due just after the outage began.
   */
  double min_expiry_heartbeats = 2.5;
};

class engine_table {
 public:
  /** @param seed of this daemon's order of engines. */
  engine_table(record_expiry_options options, std::uint64_t seed)
      : options_(options), index_(seed) {}
  /** The indexes know the engines by their places in memory, which a move keeps. */
  engine_table(const engine_table&) = delete;
  engine_table(engine_table&&) = default;
  engine_table& operator=(engine_table&&) = default;
  engine_table& operator=(const engine_table&) = delete;

  /** Engines of these zones get nothing new from now on. */
  void setClosedZones(fleet::closed_zones closed);
  const fleet::closed_zones& closedZones() const { return this->closed_; }
  /** The platform's settings may change while the daemon runs. */
  void setHeartbeat(Duration heartbeat) { this->options_.heartbeat = heartbeat; }

  /** One engine is new or has changed. */
  RecordEffect onRecord(const engine_record& record);
  /** The table was read completely; these are all its engines.
   * @return the addresses of engines that were removed.
   */
  std::vector<Address> removeMissing(Instant now, const std::set<EngineId>& present);
  /** What stands where an engine's record stood can't be read.
   * @return the address of the engine that is out of use now, if one was known.
   */
  std::optional<Address> onInvalidRecord(const EngineId& id);
  /** The record of an engine was removed. Just after the store's return it may have expired: then
   * the engine serves on until `removeExpired`.
   * @return the address of the engine that was removed, if one was.
   */
  std::optional<Address> onRemoved(Instant now, const EngineId& id);
  /** The store answers again. @param outage how long it did not. */
  void onStoreReconnected(Instant now, Duration outage);
  /** Removes the engines whose records did not come back in time. @return their records. */
  std::vector<engine_record> removeExpired(Instant now);
  /** @param version that an answer of the engine named; 0: it named none. */
  void onVersionSeen(const EngineId& id, const ModelName& model, WeightVersion version);

  const engine_state* find(const EngineId& id) const;
  engine_state* find(const EngineId& id);
  /** @return the service's engines that are not draining and in no closed zone. Kept up as engines
   *     change; asking costs one look-up.
   */
  const engine_list& availableEngines(const ServiceName& service) const;
  /** @return the service's engines, whatever their state, in this daemon's order. */
  const engine_index::engine_order& allEngines(const ServiceName& service) const {
    return this->index_.ofService(service);
  }
  /** @return the service's engines by the version of the model that they hold, newest first. */
  const engine_index::version_index& byVersion(const ServiceName& service, const ModelName& model) {
    return this->index_.byVersion(service, model);
  }
  const std::map<EngineId, engine_state>& all() const { return this->engines_; }
  active_engines& activeEngines() { return this->active_; }
  const active_engines& activeEngines() const { return this->active_; }

 private:
  using engine_map = std::map<EngineId, engine_state>;

  /** Before and after a change of anything that an engine is found by. */
  void removeFromIndexes(const engine_state& engine);
  void addToIndexes(const engine_state& engine);
  engine_map::iterator erase(engine_map::iterator at);
  bool isOpen(const engine_state& engine) const;
  /** @return whether a record that disappears now may have expired. An engine that was draining has
   *     left, as it said it would.
   */
  bool mayHaveExpired(Instant now, const engine_state& engine) const {
    return now < this->expiry_ends_at_ && !engine.record.draining;
  }

  record_expiry_options options_;
  fleet::closed_zones closed_;
  engine_map engines_;
  /** The members below point into `engines_`. */
  engine_index index_;
  std::map<ServiceName, engine_list> open_;  ///< Not draining and in no closed zone.
  active_engines active_;
  Instant expiry_ends_at_{};  ///< Records that disappear before this may have expired.
};

}  // namespace linenpier::engines
