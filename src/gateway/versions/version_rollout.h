#pragma once

/// @file
/// Brings named weight versions to the engines of one service by fenced orders, a few at a time.
/// Pure; runs at the daemon that holds the service's right to order.

#include <map>
#include <optional>
#include <vector>

#include "gateway/engines/engine_registry.h"
#include "gateway/versions/engine_assignment.h"
#include "gateway/versions/load_demand.h"

namespace linenpier::versions {

/// What happens to runs of the model when the weights change.
enum class LoadMode {
  kWait,    ///< They end first.
  kCancel,  ///< They are reset.
  kRetain,  ///< They go on under the new version.
};

struct VersionOrder {
  EngineId engine;
  engines::EngineStart start = 0;
  Address address;
  ModelName model;
  WeightVersion version = 0;
  LoadMode mode = LoadMode::kCancel;
  std::optional<std::uint64_t> expected_sequence;  ///< Orders the engine must have taken before.
};

/// How an engine answered an order.
enum class OrderAnswer {
  kUnderWay,
  kInForce,
  kBusy,      ///< Another order is under way, or the sequence differs.
  kFenced,    ///< It has seen a higher token.
  kRejected,  ///< The order is wrong, or another engine has the address.
  kUnknown,   ///< It may be carried out yet.
};

/// What an engine tells of itself; a little old when it arrives.
struct OrderReport {
  engines::EngineStart start = 0;
  std::uint64_t taken = 0;  ///< Orders it has taken.
  bool busy = false;        ///< One of them is under way.
  std::uint32_t load = 0;   ///< Requests that run or wait.
};

struct RolloutOptions {
  /// Runs that are reset go on elsewhere from what they have, which costs little where there is
  /// room; left where they are they stand still while the engine loads. Texts that one version must
  /// make end first. Set: always this mode.
  std::optional<LoadMode> mode;
  /// Engines that load at once; more slow each other down. The platform bears more where it has
  /// more engines.
  std::size_t at_once = 2;
  double at_once_share = 0.2;  ///< Of all engines, if that is more.
  /// An engine is changed while it has at most this share of its slots in use, since what it runs
  /// must go elsewhere: none of a small engine's, whose only run is likely to be a long one that a
  /// step ends with …
  double quiet_share = 0.1;
  /// … or when its model's newest version was named this long ago. Versions that follow each other
  /// sooner are skipped by engines that are of use to the newest step: each load stops or moves all
  /// that an engine runs.
  Duration busy_timeout = std::chrono::seconds(10);
  /// A version that is this old is brought to engines beyond the demand, too.
  Duration settled = std::chrono::seconds(8);
  demand_options demand;
  Duration report_period = std::chrono::milliseconds(250);  ///< Between two reports of an engine.
  std::size_t reports_at_once = 24;                         ///< That are asked for in one tick.
  Duration load_time = std::chrono::milliseconds(900);      ///< Of one change.
  Duration confirm_time = std::chrono::milliseconds(3500);  ///< Until discovery shows it.
  Duration busy_pause = std::chrono::milliseconds(250);
  Duration unknown_pause = std::chrono::milliseconds(400);
  Duration rejected_pause = std::chrono::seconds(2);
};

class VersionRollout {
 public:
  explicit VersionRollout(RolloutOptions options) : options_(options), demand_(options.demand) {}

  void onNamed(Instant now, const ModelName& model, WeightVersion version);
  WeightVersion named(const ModelName& model) const;

  /// @param engines those of the service that are not draining.
  /// @return the orders to send now. Each counts as being sent until it is answered.
  /// @param work of jobs under way, by each model that needs engines now.
  /// @param awaited engines with a run that a step waits for: they are left alone while the version
  ///     is new, a third of each model's engines at most.
  std::vector<VersionOrder> onTick(Instant now, const engines::EngineList& engines,
                                   const open_work_by_model& work,
                                   const std::set<EngineId>& awaited = {});
  void onAnswer(Instant now, const VersionOrder& order, OrderAnswer answer);
  /// @return the engines that must tell of themselves before they may be changed.
  const std::vector<const engines::EngineState*>& reportsWanted() const { return reports_wanted_; }
  void onReportAsked(Instant now, const EngineId& engine);
  void onReport(Instant now, const EngineId& engine, const OrderReport& report);
  /// The right to order is gone, or new: what engines have taken must be asked again.
  void reset() {
    progress_.clear();
    assignment_.reset();
  }

 private:
  /// Of one start of an engine: a later one has taken no orders.
  struct Progress {
    engines::EngineStart start = 0;
    bool sending = false;
    ModelName model;          ///< Of the order sent last.
    Instant loading_until{};  ///< The engine is taken to load until then.
    Instant not_before{};
    std::optional<std::uint64_t> sequence;  ///< Orders taken, by the engine's word and our count.
    Instant asked_at{};
    Instant reported_at{};
    std::uint32_t load = 0;                        ///< As reported.
    std::map<ModelName, WeightVersion> confirmed;  ///< From the engine's own answers.
    std::map<ModelName, Instant> confirmed_at;
  };
  /// How soon an engine should be changed.
  enum class Urgency {
    kNow,    ///< It is of no use to the newest step.
    kSoon,   ///< It is quiet, or the version has waited long enough.
    kLater,  ///< It has work that would have to go elsewhere.
  };
  struct Candidate {
    const engines::EngineState* engine = nullptr;
    ModelName model;
    Urgency urgency = Urgency::kLater;
    std::uint32_t load = 0;
  };
  std::vector<Candidate> findCandidates(Instant now, const engines::EngineList& engines,
                                        const std::set<EngineId>& awaited);
  /// @return what is known of the engine's present start.
  Progress& progressOf(const engines::EngineState& engine);
  void dropIdleProgress(Instant now);
  EnginesWanted enginesWanted(Instant now, const engines::EngineList& engines,
                              const std::set<ModelName>& models) const;
  bool isSettled(Instant now, const ModelName& model) const;
  /// @return whether the model's newest version was named a short while ago.
  bool isNew(Instant now, const ModelName& model) const;
  /// Chooses whom to ask next: those that would be changed first.
  void findReportsWanted(Instant now, const std::vector<Candidate>& candidates);
  Urgency urgencyOf(Instant now, const engines::EngineState& engine, const ModelName& model) const;
  LoadMode modeFor(Instant now, const engines::EngineState& engine, const ModelName& model,
                   const engines::EngineList& engines) const;
  std::map<ModelName, std::size_t> loadingByModel(Instant now) const;
  std::size_t atOnce(std::size_t engines) const;
  /// @return how many more engines each model's newest version should be brought to soon.
  std::map<ModelName, std::size_t> enginesMissing(Instant now,
                                                  const engines::EngineList& engines) const;
  bool isBehind(Instant now, const engines::EngineState& engine, const ModelName& model) const;

  RolloutOptions options_;
  EngineAssignment assignment_;
  load_demand demand_;
  std::set<ModelName> single_version_;  ///< Models whose texts must come from one version.
  std::map<ModelName, WeightVersion> named_;
  std::map<ModelName, Instant> named_at_;
  std::map<EngineId, Progress> progress_;
  std::vector<const engines::EngineState*> reports_wanted_;  ///< As of the last tick.
};

}  // namespace linenpier::versions
