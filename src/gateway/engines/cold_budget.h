#pragma once

/** @file
 * What this daemon may still send to each engine of a service whose engines bear little for some
 * time after their start. The bound holds over all daemons together, and they ask nobody before
 * they send: each keeps to a share that is safe whatever the others do. Pure.
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
#include "gateway/routing/route_table.h"

namespace linenpier::engines {

/** How far the fleet may exceed what a cold engine bears, as settings give it. */
struct cold_rules {
  double overshoot = 0;  ///< Factor of what the engine bears; 0: nothing is bounded.
  double slack = 0;      ///< Requests a second beyond that.

  bool operator==(const cold_rules&) const = default;
};

/** The daemons that may send to cold engines: those that own work, which their leases tell. */
struct cold_senders {
  std::size_t count = 0;  ///< Live ones, this one among them; 0: not known yet.
  bool self = false;      ///< Whether this daemon is one of them.

  bool operator==(const cold_senders&) const = default;
};

struct cold_times {
  /** Sends within this count together: the second of the rule, and how much later than it was
   * counted a request may leave (0.2 s to connect, 0.1 s for a loop that is late).
   */
  Duration window = std::chrono::milliseconds(1300);
  /** Between two heartbeats of an engine, as the platform sets it. */
  Duration heartbeat = std::chrono::milliseconds(1200);
  /** With entries as old as so many heartbeats, engines may have turned cold without our hearing of
   * it; a feed that works answers within 2.7 s.
   */
  double unheard_after_beats = 2.5;
  /** Until an engine that is no longer listed is forgotten. */
  Duration forget_after = std::chrono::seconds(60);
};

/** Why an engine may be sent no more than it is. */
enum class ColdLimit {
  kUnbounded,  ///< Its service holds no bound.
  kWarm,       ///< Warm as far as was heard; it may have turned cold since.
  kUnheard,    ///< The same, but the entries are old, or this daemon has just started.
  kShared,     ///< Cold: the bound is shared out among the senders.
  kPause,      ///< Just heard to be cold: others may have sent it what a warm one gets.
  kRestart,    ///< Cold, and an earlier life of this daemon may have sent to it.
  kNoSender,   ///< Cold, and this daemon owns no work.
};

const char* toText(ColdLimit limit);

/** How much an engine may be sent within a window, and by which rule. */
struct cold_allowance {
  ColdLimit limit = ColdLimit::kUnbounded;
  std::size_t requests = 0;  ///< Without meaning if unbounded.
};

/** An engine that turned cold or warm. */
struct cold_change {
  EngineId engine;
  bool cold = false;
  Duration left{};       ///< How much longer it is cold.
  Duration heard_age{};  ///< Since its last entry was heard.
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
class cold_budget {
 public:
  explicit cold_budget(cold_times times = {}) : times_(times) {}

  /** This life of the daemon began. */
  void onStart(Instant now) { this->started_at_ = now; }
  void setRules(const cold_rules& rules) { this->rules_ = rules; }
  /** @param services of the configuration in force. */
  void setServices(const std::map<ServiceName, routing::Service>& services);
  bool boundsAny() const { return !this->per_second_.empty(); }
  void setHeartbeat(Duration heartbeat) { this->times_.heartbeat = heartbeat; }
  /** The engine is listed: should it turn cold, it was warm before. */
  void keep(const EngineId& engine) { this->engines_.try_emplace(engine); }
  void setSenders(const cold_senders& senders) { this->senders_ = senders; }
  const cold_senders& senders() const { return this->senders_; }

  /** The feed of the entries answered: what was heard is as new as that. */
  void onFeedAnswered(Instant at) { this->feed_at_ = std::max(this->feed_at_, at); }
  /** The engine's entry was heard. Of a service without a bound only what is cold is remembered:
   * most engines of a large one never are.
   * @param cold_for how much longer it is cold, as the entry says.
   */
  void onHeard(Instant now, const EngineId& engine, Duration cold_for);
  /** A request goes to the engine now. */
  void onSent(Instant now, const EngineId& engine);
  /** A request did not go to the engine for lack of budget. */
  void onRefused(Instant now, const ServiceName& service, const EngineId& engine);

  bool isCold(Instant now, const EngineId& engine) const;
  /** @return requests to the engine within the last window. */
  std::size_t sent(Instant now, const EngineId& engine) const;
  cold_allowance allowance(Instant now, const ServiceName& service, const EngineId& engine) const;
  /** @return whether the engine may be sent one more request. */
  bool hasRoom(Instant now, const ServiceName& service, const EngineId& engine) const;
  /** @return whether engines of the service are bounded while they are cold. */
  bool isBounded(const ServiceName& service) const { return this->most(service) > 0; }

  /** @return the engines that turned cold or warm since this was last asked. */
  std::vector<cold_change> takeChanges(Instant now);
  /** @return the refusals since this was last asked, an entry an engine. */
  std::vector<cold_refusals> takeRefusals();
  std::uint64_t refused() const { return this->refused_; }
  /** Forgets engines that are no longer listed and that nothing was heard of for long. */
  void sweep(Instant now, const std::function<bool(const EngineId&)>& listed);

 private:
  struct engine_state {
    Instant heard_at{};
    Instant cold_until{};
    Instant turned_cold_at{};
    bool was_warm = false;  ///< Before it turned cold: others may have sent to it then.
    bool told_cold = false;
    Duration last_cold_for{};
    std::deque<Instant> sent;
  };

  const engine_state* find(const EngineId& engine) const;
  bool isCold(Instant now, const engine_state& state) const { return now < state.cold_until; }
  std::size_t sent(Instant now, const engine_state& state) const;
  /** @return requests a second that all daemons together may send to a cold engine; 0: no bound. */
  std::size_t most(const ServiceName& service) const;
  /** @param state nothing is known of the engine if it is not set. */
  cold_allowance allowance(Instant now, const engine_state* state, std::size_t most) const;
  cold_allowance coldAllowance(Instant now, const engine_state& state, std::size_t most) const;
  cold_allowance warmAllowance(Instant now, std::size_t most) const;

  cold_times times_;
  cold_rules rules_;
  cold_senders senders_;
  Instant started_at_{};
  Instant feed_at_{};                         ///< When the feed of entries last answered.
  std::map<ServiceName, double> per_second_;  ///< Services whose engines are bounded.
  std::map<EngineId, engine_state> engines_;
  std::map<EngineId, cold_refusals> refusals_;  ///< Since they were last asked for.
  std::uint64_t refused_ = 0;
};

}  // namespace linenpier::engines
