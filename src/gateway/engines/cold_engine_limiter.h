#pragma once

/** @file
 * How many requests this daemon may still send to each engine of a service whose engines are cold,
 * that is slow, for some time after their start. The bound holds over all daemons together, and
 * there is no time to ask the others before a request is sent: each daemon keeps to a share that is
 * safe whatever the others do. Owns the sends of the last window by engine, apart from
 * `engine_table`, since they must outlast an engine's record. Pure.
 *
 * See docs/design/cold-engines.md.
 */

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "common/ids.h"
#include "common/time.h"
#include "gateway/engines/engine_record.h"
#include "gateway/routing/route_table.h"

namespace linenpier::engines {

/** How many requests a second the fleet may send to a cold engine: what the engine bears
 * (`cold_per_second` of its service) x `bound_factor` + `extra_per_second`. From the settings.
 */
struct cold_limit_options {
  double bound_factor = 0;      ///< 0: nothing is bounded.
  double extra_per_second = 0;  ///< Requests a second.

  bool operator==(const cold_limit_options&) const = default;
};

/** The daemons that may send to cold engines: those that own work, as their leases show. */
struct cold_senders {
  std::size_t count = 0;  ///< Live ones, this one among them; 0: not known yet.
  bool self = false;      ///< Whether this daemon is one of them.

  bool operator==(const cold_senders&) const = default;
};

struct cold_limit_timing {
  /** Sends within this time count together: the second that the bound is for, and how much later
   * than it was counted a request may leave (0.2 s to connect, 0.1 s for a late event loop).
   */
  Duration window = std::chrono::milliseconds(1300);
  /** Between two heartbeats of an engine, as the platform sets it. */
  Duration heartbeat = kDefaultEngineHeartbeat;
  /** Once the feed of records has not answered for this many heartbeats, engines may have turned
   * cold unnoticed. More than the 2.7 s within which a working feed answers.
   */
  double stale_after_heartbeats = 2.5;
  /** Until an engine that is not listed any more is forgotten; one that crashed comes back under
   * its id.
   */
  Duration forget_after = std::chrono::seconds(60);
};

/** The rule by which an engine may be sent only so much. */
enum class ColdLimit {
  kUnbounded,     ///< Engines of its service are not bounded.
  kWarm,          ///< Warm by its last record; it may have turned cold since.
  kStale,         ///< The same, but the records are stale, or this daemon has just started.
  kShared,        ///< Cold: the bound is shared out among the senders.
  kRecentlyCold,  ///< Known to be cold for less than a window: others may have sent it more before.
  kRestarted,     ///< Cold, and this daemon may have sent to it before it restarted.
  kNotSender,     ///< Cold, and this daemon owns no work.
};

/** @return the word of log lines. */
const char* toText(ColdLimit limit);

/** How many requests an engine may be sent within a window, and by which rule. */
struct cold_allowance {
  ColdLimit limit = ColdLimit::kUnbounded;
  std::size_t requests = 0;  ///< Without meaning if unbounded.
};

/** An engine that turned cold or warm. */
struct cold_change {
  EngineId engine;
  bool cold = false;
  Duration left{};        ///< How much longer it is cold.
  Duration record_age{};  ///< Since its last record was received.
};

/** The refusals of one engine since they were last asked for. */
struct cold_refusals {
  EngineId engine;
  cold_allowance allowance;  ///< At the last one.
  std::size_t sent = 0;      ///< In the window before it.
  std::uint64_t refused = 0;
};

/** Invariant: any two daemons together never send more to an engine within a second than the bound
 * allows, whatever either of them knows.
 */
class cold_engine_limiter {
 public:
  explicit cold_engine_limiter(cold_limit_timing timing = {}) : timing_(timing) {}

  /** This daemon started. */
  void onStart(Instant now) { this->started_at_ = now; }
  void setLimitOptions(const cold_limit_options& options) { this->limit_ = options; }
  /** @param services of the configuration in force. */
  void setServices(const std::map<ServiceName, routing::Service>& services);
  bool limitsAny() const { return !this->per_second_.empty(); }
  void setHeartbeat(Duration heartbeat) { this->timing_.heartbeat = heartbeat; }
  /** Remembers a listed engine: should it turn cold, it is known to have been warm before. */
  void track(const EngineId& engine) { this->engines_.try_emplace(engine); }
  void setSenders(const cold_senders& senders) { this->senders_ = senders; }
  const cold_senders& senders() const { return this->senders_; }

  /** The feed of records answered: what is known of all engines is as new as that. */
  void onFeedAnswered(Instant at) { this->feed_at_ = std::max(this->feed_at_, at); }
  /** A record of the engine was received. While no service is bounded only cold engines are
   * remembered: most engines of a large service never are.
   * @param cold_remaining how much longer it is cold, as the record says.
   */
  void onRecord(Instant now, const EngineId& engine, Duration cold_remaining);
  /** A request goes to the engine now. */
  void onSent(Instant now, const EngineId& engine);
  /** A request was not sent to the engine, since the allowance was used up. */
  void onRefused(Instant now, const ServiceName& service, const EngineId& engine);

  bool isCold(Instant now, const EngineId& engine) const;
  /** @return requests to the engine within the last window. */
  std::size_t sent(Instant now, const EngineId& engine) const;
  cold_allowance allowance(Instant now, const ServiceName& service, const EngineId& engine) const;
  /** @return whether the engine may be sent one more request. */
  bool hasRoom(Instant now, const ServiceName& service, const EngineId& engine) const;
  /** @return whether engines of the service are bounded while they are cold. */
  bool isBounded(const ServiceName& service) const { return this->fleetLimit(service) > 0; }

  /** @return the engines that turned cold or warm since this was last asked. */
  std::vector<cold_change> takeChanges(Instant now);
  /** @return the refusals since this was last asked, an entry an engine. */
  std::vector<cold_refusals> takeRefusals();
  std::uint64_t refused() const { return this->refused_; }
  /** Forgets engines that are not listed and of which no record came for `forget_after`. */
  void sweep(Instant now, const std::function<bool(const EngineId&)>& listed);

 private:
  struct engine_entry {
    Instant recorded_at{};
    Instant cold_until{};
    Instant cold_since{};
    bool was_warm = false;       ///< Before it turned cold: others may have sent to it then.
    bool reported_cold = false;  ///< As of the last `takeChanges`.
    Duration last_cold_for{};
    std::deque<Instant> sent;
  };

  const engine_entry* find(const EngineId& engine) const;
  bool isCold(Instant now, const engine_entry& state) const { return now < state.cold_until; }
  std::size_t sent(Instant now, const engine_entry& state) const;
  /** @return requests a second that all daemons together may send to a cold engine; 0: no bound.
   */
  std::size_t fleetLimit(const ServiceName& service) const;
  /** @param state nullptr: nothing is known of the engine. */
  cold_allowance allowance(Instant now, const engine_entry* state, std::size_t bound) const;
  cold_allowance coldAllowance(Instant now, const engine_entry& state, std::size_t bound) const;
  cold_allowance warmAllowance(Instant now, std::size_t bound) const;

  cold_limit_timing timing_;
  cold_limit_options limit_;
  cold_senders senders_;
  Instant started_at_{};
  Instant feed_at_{};                         ///< When the feed of records last answered.
  std::map<ServiceName, double> per_second_;  ///< Services whose engines are bounded.
  std::map<EngineId, engine_entry> engines_;
  std::map<EngineId, cold_refusals> refusals_;  ///< Since they were last asked for.
  std::uint64_t refused_ = 0;
};

}  // namespace linenpier::engines
