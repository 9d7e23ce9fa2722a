#pragma once

/** @file
 * Discovery: the engines from the platform's table of records, and the zones that the operator
 * closed. Owns the state of each engine and the indexes over them. Does no I/O.
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

/** Effect of a received record. */
enum class RecordEffect {
  kNew,
  kUpdated,
  kRestarted,  ///< The engine restarted under its id; its former state was discarded.
  kOutdated,   ///< The record is from before the last restart of the engine and is ignored.
};

/** Options for the handling of expired records. Engines can't renew their records during a store
 * outage: the records expire and are deleted just after the store is back, although the engines are
 * still serving.
 */
struct record_expiry_options {
  /** Time after a store outage within which an engine must renew its record. Slightly less than the
   * two seconds that the platform specifies.
   */
  Duration expiry_grace = std::chrono::milliseconds(1900);
  Duration heartbeat = kDefaultEngineHeartbeat;  ///< Heartbeat interval of an engine.
  /** Shortest store outage, in heartbeat intervals, in which a record can expire. A record expires
   * after three missed heartbeats. The first missed heartbeat may be due just after the outage
   * begins, so an outage of less than three intervals can suffice.
   */
  double min_expiry_heartbeats = 2.5;
};

class engine_table {
 public:
  /** @param seed seed of this daemon's order of engines. */
  engine_table(record_expiry_options options, std::uint64_t seed)
      : options_(options), index_(seed) {}
  /** Move-only: the indexes point to the engines, whose addresses survive a move. */
  engine_table(const engine_table&) = delete;
  engine_table(engine_table&&) = default;
  engine_table& operator=(engine_table&&) = default;
  engine_table& operator=(const engine_table&) = delete;

  /** Stops new requests to engines of these zones. */
  void setClosedZones(fleet::closed_zones closed);
  const fleet::closed_zones& closedZones() const { return this->closed_; }
  void setHeartbeat(Duration heartbeat) { this->options_.heartbeat = heartbeat; }

  RecordEffect onRecord(const engine_record& record);
  /** Removes engines that are not in `present`, the ids of a complete listing.
   * @return the addresses of the removed engines.
   */
  std::vector<Address> removeMissing(Instant now, const std::set<EngineId>& present);
  /** Removes an engine whose record can't be parsed.
   * @return the address of the removed engine, if it was known.
   */
  std::optional<Address> onInvalidRecord(const EngineId& id);
  /** Removes an engine whose record was deleted. Just after a store outage the record may have
   * expired instead; the engine is then kept until `removeExpired`.
   * @return the address of the engine if it was removed.
   */
  std::optional<Address> onRemoved(Instant now, const EngineId& id);
  /** @param outage how long the store was unavailable. */
  void onStoreReconnected(Instant now, Duration outage);
  /** Removes engines whose expired records were not renewed in time. @return the records of the
   * removed engines. */
  std::vector<engine_record> removeExpired(Instant now);
  /** @param version the version in a response of the engine; 0: none. */
  void onVersionSeen(const EngineId& id, const ModelName& model, WeightVersion version);

  const engine_state* find(const EngineId& id) const;
  engine_state* find(const EngineId& id);
  /** @return the engines of the service that are neither draining nor in a closed zone. */
  const engine_list& availableEngines(const ServiceName& service) const;
  /** @return all engines of the service in this daemon's order. */
  const engine_index::engine_order& allEngines(const ServiceName& service) const {
    return this->index_.ofService(service);
  }
  /** @return the engines of the service by the version of the model that they hold, newest first.
   */
  const engine_index::version_index& byVersion(const ServiceName& service, const ModelName& model) {
    return this->index_.byVersion(service, model);
  }
  const std::map<EngineId, engine_state>& all() const { return this->engines_; }
  active_engines& activeEngines() { return this->active_; }
  const active_engines& activeEngines() const { return this->active_; }

 private:
  using engine_map = std::map<EngineId, engine_state>;

  /** Must be called before an indexed field of the engine changes, and `addToIndexes` afterwards.
   */
  void removeFromIndexes(const engine_state& engine);
  void addToIndexes(const engine_state& engine);
  engine_map::iterator erase(engine_map::iterator at);
  bool isAvailable(const engine_state& engine) const;
  /** @return whether a record that disappears now may have expired. A draining engine removes its
   *     record itself.
   */
  bool mayHaveExpired(Instant now, const engine_state& engine) const {
    return now < this->expiry_ends_at_ && !engine.record.draining;
  }

  record_expiry_options options_;
  fleet::closed_zones closed_;
  engine_map engines_;
  /** Indexes of the engines, with pointers into `engines_`. */
  engine_index index_;
  std::map<ServiceName, engine_list> available_;  ///< Engines returned by `availableEngines`.
  active_engines active_;
  Instant expiry_ends_at_{};  ///< Records that disappear before this time may have expired.
};

}  // namespace linenpier::engines
