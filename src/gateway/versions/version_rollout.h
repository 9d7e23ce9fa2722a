#pragma once

/** @file
 * Brings the newest version of each model to the engines of one service, a few at a time. Pure;
 * runs at the leader of the service's lock.
 *
 * Each tick compares the engines that are assigned to each model (`engine_assignment.h`) with the
 * newest version, orders those behind it by how soon they should be changed, and returns orders for
 * as many as may load at once. An engine is ordered only after it has reported its sequence of
 * orders.
 */

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "gateway/engines/engine_registry.h"
#include "gateway/versions/engine_assignment.h"
#include "gateway/versions/load_demand.h"
#include "gateway/versions/version_order.h"

namespace linenpier::versions {

struct rollout_options {
  /// Empty: runs are reset where the model's other engines have room for them, since they go on
  /// elsewhere from what they have; else they are retained, and stand still while the engine loads.
  /// Texts that one version must make end first. Set: always this mode.
  std::optional<LoadMode> mode;
  /// Engines that load at once: more slow each other down …
  std::size_t at_once = 2;
  /// … but the platform bears more where it has more engines: this share of all, if that is more.
  double at_once_share = 0.2;
  /// An engine is quiet, and may be changed, while it has at most this share of its slots in use.
  /// What it runs must go elsewhere; the only run of a small engine is likely to be a long one that
  /// a step ends with, so that an engine of few slots is quiet only when it is idle.
  double quiet_share = 0.1;
  /// How long a busy engine that can still serve the newest step is left alone after a version was
  /// named. Where versions follow each other sooner, such engines skip every other one: each load
  /// stops or moves all that an engine runs.
  Duration busy_timeout = std::chrono::seconds(10);
  /// A version of this age comes to the engines beyond the demand, too.
  Duration settled = std::chrono::seconds(8);
  demand_options demand;
  Duration report_interval = std::chrono::milliseconds(250);  ///< Between two reports of an engine.
  std::size_t reports_at_once = 24;                           ///< Asked for in one tick.
  Duration load_time = std::chrono::milliseconds(900);        ///< Of one change of weights.
  /// An engine's own answer counts this long against discovery, which lags behind it.
  Duration confirm_time = std::chrono::milliseconds(3500);
  Duration busy_backoff = std::chrono::milliseconds(250);     ///< After an engine said it is busy.
  Duration unknown_backoff = std::chrono::milliseconds(400);  ///< After an order without an answer.
  Duration rejected_backoff = std::chrono::seconds(2);        ///< After a refusal, fenced or not.
};

/** Loop thread only. */
class version_rollout {
 public:
  explicit version_rollout(rollout_options options) : options_(options), demand_(options.demand) {}

  /** A version was named as the newest of its model. Older ones than that known are ignored. */
  void onVersionAnnounced(Instant now, const ModelName& model, WeightVersion version);

  /** @param engines those of the service that are not draining.
   * @param work of jobs under way, by each model that needs engines now.
   * @param awaited engines with a run that a step waits for: they are left alone while the version
   *     is new, up to a third of each model's engines.
   * @return the orders to send now. Each counts as being sent until it is answered.
   */
  std::vector<version_order> onTick(Instant now, const engines::engine_list& engines,
                                    const open_work_by_model& work,
                                    const std::set<EngineId>& awaited = {});
  void onAnswer(Instant now, const version_order& order, OrderResult answer);
  /** @return the engines to ask for a report, as of the last tick. */
  const std::vector<const engines::engine_state*>& reportsNeeded() const {
    return this->reports_needed_;
  }
  void onReportRequested(Instant now, const EngineId& engine);
  void onReport(Instant now, const EngineId& engine, const order_report& report);
  /** The lock was acquired or lost: what engines have taken must be asked again. */
  void reset();

 private:
  /** What is known of one start of an engine; a later start has taken no orders. */
  struct engine_progress {
    engines::engine_start start = 0;
    bool sending = false;     ///< An order is on its way.
    ModelName model;          ///< Of the order sent last.
    Instant loading_until{};  ///< The engine is taken to load until then.
    Instant not_before{};     ///< No order is sent before.
    /// Orders taken, as reported and counted on by us; empty: it must report first.
    std::optional<std::uint64_t> sequence;
    Instant report_requested_at{};
    Instant reported_at{};
    std::uint32_t load = 0;                        ///< As reported.
    std::map<ModelName, WeightVersion> confirmed;  ///< By the engine's own answers.
    std::map<ModelName, Instant> confirmed_at;

    bool changing(Instant now) const { return this->sending || now < this->loading_until; }
  };
  /** How soon an engine should be changed; sooner ones first. */
  enum class Urgency {
    kObsolete,  ///< It cannot serve the newest step: whatever it runs.
    kDue,       ///< It is quiet, or was left alone for long enough.
    kBusy,      ///< It has work that would have to go elsewhere: not yet.
  };
  /** An engine that is behind. */
  struct load_candidate {
    const engines::engine_state* engine = nullptr;
    ModelName model;
    Urgency urgency = Urgency::kBusy;
    std::uint32_t load = 0;
  };

  WeightVersion newestVersion(const ModelName& model) const;
  /** @return whether the model's newest version was named less than the busy timeout ago. */
  bool isNew(Instant now, const ModelName& model) const;
  /** @return whether it was named long enough ago to go to engines beyond the demand. */
  bool isSettled(Instant now, const ModelName& model) const;
  bool isBehind(Instant now, const engines::engine_state& engine, const ModelName& model) const;

  void updateOpenWork(Instant now, const open_work_by_model& work);
  engines_wanted enginesWanted(Instant now, const engines::engine_list& engines,
                               const open_work_by_model& work) const;
  /** @return what is known of the engine's present start. */
  engine_progress& progressOf(const engines::engine_state& engine);
  void dropIdleProgress(Instant now);

  /** @return the engines that are behind and may be ordered now. */
  std::vector<load_candidate> findCandidates(Instant now, const engines::engine_list& engines,
                                             const std::set<EngineId>& awaited);
  /** Sorts candidates by urgency, load and id, and drops those that no model needs. */
  void chooseCandidates(Instant now, const engines::engine_list& engines,
                        std::vector<load_candidate>& candidates) const;
  Urgency urgencyOf(Instant now, const engines::engine_state& engine, const ModelName& model) const;
  /** @return how many more engines each model's newest version should come to soon. */
  std::map<ModelName, std::size_t> enginesMissing(Instant now,
                                                  const engines::engine_list& engines) const;
  /** Chooses whom to ask for reports: those that would be changed first. */
  void findReportsNeeded(Instant now, const std::vector<load_candidate>& candidates);

  std::size_t loadingCount(Instant now) const;
  std::map<ModelName, std::size_t> loadingByModel(Instant now) const;
  /** @return how many of so many engines may load at once. */
  std::size_t atOnce(std::size_t engines) const;
  LoadMode modeFor(Instant now, const engines::engine_state& engine, const ModelName& model,
                   const engines::engine_list& engines) const;
  version_order orderFor(Instant now, const load_candidate& candidate,
                         const engine_progress& progress,
                         const engines::engine_list& engines) const;
  /** @param loading engines that load already. @return orders to the first candidates. */
  std::vector<version_order> orderCandidates(Instant now, const engines::engine_list& engines,
                                             const std::vector<load_candidate>& candidates,
                                             std::size_t loading);

  rollout_options options_;
  engine_assignment assignment_;
  load_demand demand_;
  std::set<ModelName> single_version_;  ///< Models whose texts must each come from one version.
  std::map<ModelName, WeightVersion> newest_versions_;
  std::map<ModelName, Instant> announced_at_;
  std::map<EngineId, engine_progress> progress_;
  std::vector<const engines::engine_state*> reports_needed_;  ///< As of the last tick.
};

}  // namespace linenpier::versions
