#pragma once

/** @file
 * Rate limiter for cold engines: engines that are slow for some time after their start. The limit
 * applies to all daemons together. As a daemon can't ask the others before it sends a request, each
 * keeps to a share of the limit, which depends on what it knows of the engine and of the other
 * daemons. Keeps the send times of the last window per engine, separately from `engine_table`,
 * since they must outlive an engine's record. Does no I/O.
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
#include "gateway/routing/configuration.h"

namespace linenpier::engines {

/** Settings of the limit for a cold engine. All daemons together may send the engine
 * `cold_per_second` (of its service) x `bound_factor` + `extra_per_second` requests a second.
 */
struct cold_limit_options {
  double bound_factor = 0;  ///< Factor of `cold_per_second`; 0: no limit.
  double extra_per_second = 0;

  bool operator==(const cold_limit_options&) const = default;
};

/** The daemons that may send to cold engines: those that own work, according to their leases. */
struct cold_senders {
  std::size_t count = 0;  ///< Number of live senders, including this daemon; 0: not known yet.
  bool self = false;      ///< Whether this daemon is one of the senders.

  bool operator==(const cold_senders&) const = default;
};

struct cold_limit_timing {
  /** Length of the sliding window: one second, to which the limit applies, plus 0.3 s, the longest
   * delay between counting a request and sending it (0.2 s to connect, 0.1 s for a delayed event
   * loop).
   */
  Duration window = std::chrono::milliseconds(1300);
  Duration heartbeat = kDefaultEngineHeartbeat;  ///< Heartbeat interval of an engine.
  /** Number of heartbeat intervals without an answer of the watch after which the engine records
   * are stale. Engines may have turned cold in this time.
   */
  double stale_after_heartbeats = 2.5;
  /** How long the state of an unlisted engine is kept after the last record of the engine. An
   * engine that restarts after a crash has the same id, and the requests before the crash count.
   */
  Duration forget_after = std::chrono::seconds(60);
};

/** The rule that limits the requests to an engine. */
enum class ColdLimit {
  kUnbounded,  ///< The service has no limit.
  kWarm,       ///< The last record of the engine says warm; the engine may have turned cold since.
  kStale,      ///< The engine is warm, but its record is stale or this daemon has just started.
  kShared,     ///< The engine is cold; the limit is divided among the senders.
  kJustTurnedCold,  ///< The engine turned cold within the last window; other daemons may have used
                    ///< up the limit.
  kRestarted,  ///< The engine is cold, and this daemon may have sent it requests before restarting.
  kNotSender,  ///< The engine is cold, and this daemon owns no work.
};

/** @return the name of the rule in log lines. */
const char* toText(ColdLimit limit);

/** How many requests an engine may be sent within a window. */
struct cold_allowance {
  ColdLimit limit = ColdLimit::kUnbounded;
  std::size_t requests = 0;  ///< Number of requests; unused if the rule is kUnbounded.
};

/** An engine that turned cold or warm. */
struct cold_change {
  EngineId engine;
  bool cold = false;
  Duration left{};        ///< Remaining time until the engine is warm.
  Duration record_age{};  ///< Time since the last record of the engine was received.
};

/** Requests withheld from one engine since the last `takeRefusals`. */
struct cold_refusals {
  EngineId engine;
  cold_allowance allowance;  ///< Allowance at the time of the last refusal.
  std::size_t sent = 0;      ///< Requests sent within the window before the last refusal.
  std::uint64_t refused = 0;
};

/** Limits the requests that an engine is sent within a second:
 * - Senders that all know that the engine is cold stay within its limit together, if each knows all
 *   of them but one.
 * - Any two daemons stay within a limit of two or more together, whatever either of them knows.
 *
 * Three or more daemons may exceed the limit until they know that the engine is cold.
 */
class cold_engine_limiter {
 public:
  explicit cold_engine_limiter(cold_limit_timing timing = {}) : timing_(timing) {}

  void onStart(Instant now) { this->started_at_ = now; }
  void setLimitOptions(const cold_limit_options& options) { this->limit_ = options; }
  void setServices(const std::map<ServiceName, routing::Service>& services);
  bool limitsAnyService() const { return !this->cold_per_second_.empty(); }
  void setHeartbeat(Duration heartbeat) { this->timing_.heartbeat = heartbeat; }
  /** Adds a listed engine that has no entry yet. If a later record says that the engine is cold,
   * the engine counts as having turned cold, and not as a new engine without requests.
   */
  void track(const EngineId& engine) { this->engines_.try_emplace(engine); }
  void setSenders(const cold_senders& senders) { this->senders_ = senders; }
  const cold_senders& senders() const { return this->senders_; }

  /** Handles an answer of the watch on engine records: all known records are current as of `at`. */
  void onWatchAnswered(Instant at) {
    this->watch_answered_at_ = std::max(this->watch_answered_at_, at);
  }
  /** Updates an engine from its record. Without any limit only cold engines are stored, which keeps
   * the state small in a large service.
   */
  void onRecord(Instant now, const EngineId& engine, Duration cold_remaining);
  void onSent(Instant now, const EngineId& engine);
  /** Counts a request that was withheld because the allowance was used up. */
  void onRefused(Instant now, const ServiceName& service, const EngineId& engine);

  bool isCold(Instant now, const EngineId& engine) const;
  /** @return the number of requests sent to the engine within the last window. */
  std::size_t sent(Instant now, const EngineId& engine) const;
  cold_allowance allowance(Instant now, const ServiceName& service, const EngineId& engine) const;
  bool hasRoom(Instant now, const ServiceName& service, const EngineId& engine) const;
  /** @return whether the service limits requests to its cold engines. */
  bool isBounded(const ServiceName& service) const { return this->totalLimit(service) > 0; }

  /** @return the engines that turned cold or warm since the last call. */
  std::vector<cold_change> takeChanges(Instant now);
  /** @return the refusals since the last call, one entry per engine. */
  std::vector<cold_refusals> takeRefusals();
  std::uint64_t refused() const { return this->refused_; }
  /** Removes engines that are not listed and had no record for `forget_after`. */
  void sweep(Instant now, const std::function<bool(const EngineId&)>& listed);

 private:
  struct engine_entry {
    Instant recorded_at{};
    Instant cold_until{};
    Instant cold_since{};
    /** Whether the engine was known before it turned cold, so that other daemons may have sent it
     * requests while it was warm. */
    bool was_warm = false;
    bool reported_cold = false;  ///< Whether the last `takeChanges` found the engine cold.
    /** Remaining cold time in the last record of the engine; detects a repeated record. */
    Duration last_cold_remaining{};
    std::deque<Instant> sent;
  };

  const engine_entry* find(const EngineId& engine) const;
  bool isCold(Instant now, const engine_entry& state) const { return now < state.cold_until; }
  std::size_t sent(Instant now, const engine_entry& state) const;
  /** @return the number of requests a second that all daemons together may send to a cold engine;
   * 0: no limit. */
  std::size_t totalLimit(const ServiceName& service) const;
  /** @param state state of the engine; nullptr if the engine is not known. */
  cold_allowance allowance(Instant now, const engine_entry* state, std::size_t bound) const;
  cold_allowance coldAllowance(Instant now, const engine_entry& state, std::size_t bound) const;
  cold_allowance warmAllowance(Instant now, std::size_t bound) const;

  cold_limit_timing timing_;
  cold_limit_options limit_;
  cold_senders senders_;
  Instant started_at_{};
  Instant watch_answered_at_{};  ///< Time of the last answer of the watch on engine records.
  /** Requests a second that a cold engine can serve, for each service with a limit. */
  std::map<ServiceName, double> cold_per_second_;
  std::map<EngineId, engine_entry> engines_;
  std::map<EngineId, cold_refusals> refusals_;  ///< Refusals since the last `takeRefusals`.
  std::uint64_t refused_ = 0;
};

}  // namespace linenpier::engines
