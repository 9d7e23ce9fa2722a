#pragma once

/// @file
/// The engines of this daemon's zone: what the machine list says, what their owners report, and
/// what this daemon itself has in flight; and digests of the other zones.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/time.h"
#include "daemon/wire/messages.h"

namespace linenpier::upstream {

/// An engine as the machine list names it.
struct EngineSeed {
  EngineId id;
  ZoneName zone;
  ModelName model;
  std::string url;
  bool leaving = false;
};

/// Everything known of one engine.
struct EngineState {
  EngineSeed seed;
  wire::EngineReport report;            ///< As last heard; lags.
  Instant reported_at{};                ///< When `report` was heard.
  bool reported = false;                ///< Whether any report was heard.
  std::uint32_t in_flight = 0;          ///< Streams of this daemon on the engine now.
  std::uint32_t started_since = 0;      ///< Streams that this daemon started since the report.
  std::uint32_t ended_since = 0;        ///< Streams that ended since the report.
  int failures = 0;                     ///< Consecutive failures, for the circuit breaker.
  WeightVersion confirmed_version = 0;  ///< From the engine's answer to an order.
  Instant confirmed_at{};               ///< When it was confirmed.
  Instant open_until{};                 ///< The circuit breaker admits nothing before this.

  /// @return the reported load, corrected by what this daemon did since the report.
  double expectedLoad() const;
  bool leaving() const { return seed.leaving || report.leaving; }
};

struct DirectoryOptions {
  Duration report_lifetime = std::chrono::seconds(6);  ///< Older reports make an engine unusable.
  Duration digest_lifetime = std::chrono::seconds(15);
  Duration report_lag = std::chrono::seconds(2);    ///< Reports may be this much behind.
  int breaker_threshold = 2;                        ///< Failures in a row that open the breaker.
  Duration breaker_time = std::chrono::seconds(2);  ///< First opening; doubles with failures.
  Duration breaker_limit = std::chrono::seconds(30);
};

/// Pure state; one owner.
class EngineDirectory {
 public:
  EngineDirectory(ZoneName zone, DirectoryOptions options);

  /// Replaces the zone's list of engines. Engines that vanished are treated as leaving.
  void onMachineList(const std::vector<EngineSeed>& engines);
  void onReport(Instant now, const wire::EngineReport& report);
  /// A report as other daemons of the zone tell it.
  void onCompactReport(Instant now, const wire::CompactReport& report);
  /// @return the engine that a compact report is about, or nullptr.
  const EngineId* idOf(std::uint32_t engine_key) const;
  /// @return a number that changes whenever engines are added or removed.
  std::uint64_t listRevision() const { return list_revision_; }
  /// The engine itself confirmed an order: it holds `version` now, whatever lagging reports say.
  void onVersionConfirmed(Instant now, const EngineId& id, WeightVersion version);
  void onZoneDigest(Instant now, const wire::ZoneDigest& digest);

  void onStreamStarted(const EngineId& id);
  /// A daemon of another zone was told to use the engine.
  void onPeerStreamPlaced(const EngineId& id);
  /// @param healthy false if the engine broke or refused the stream.
  void onStreamEnded(Instant now, const EngineId& id, bool healthy);

  const EngineState* find(const EngineId& id) const;
  const std::map<EngineId, EngineState>& engines() const { return engines_; }
  /// @return usable engines of the zone for `model` that hold at least `minimum_version`.
  std::vector<const EngineState*> candidates(Instant now, const ModelName& model,
                                             WeightVersion minimum_version) const;
  /// @return whether the zone has any engine for the model, usable or not.
  bool servesModel(const ModelName& model) const;
  /// @return the zone's own digest, from fresh reports.
  wire::ZoneDigest makeDigest(Instant now) const;
  /// @return fresh digests of the other zones that offer the model at the version, by free slots.
  std::vector<wire::ZoneDigest> zonesWith(Instant now, const ModelName& model,
                                          WeightVersion minimum_version) const;

 private:
  struct HeardDigest {
    wire::ZoneDigest digest;
    Instant heard_at{};
  };
  bool usable(Instant now, const EngineState& engine) const;

  ZoneName zone_;
  DirectoryOptions options_;
  std::map<EngineId, EngineState> engines_;
  std::map<std::uint32_t, EngineId> ids_by_key_;  ///< Of all in `engines_`.
  std::uint64_t list_revision_ = 0;
  std::map<ZoneName, HeardDigest> digests_;  ///< Other zones.
};

/// @return the short key of an engine in compact reports.
std::uint32_t engineKey(const EngineId& id);
wire::CompactReport compact(const wire::EngineReport& report);

/// @return the pool of `digest` that serves `model`, or nullptr.
const wire::PoolDigest* findPool(const wire::ZoneDigest& digest, const ModelName& model);

}  // namespace linenpier::upstream
