#pragma once

/// @file
/// Makes a trainer's steps whole: orders samples from the zones, replaces lost and aging ones, and
/// commits a step when its trainer pulls it.
///
/// The coordinator of a trainer is the live daemon that rendezvous hashing picks. Two daemons may
/// both believe to be it for a while: that wastes work, but a step's row can be committed only
/// once. A new coordinator reads the finished samples from the object store and adopts those still
/// being made from their makers' progress messages.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/time.h"
#include "daemon/rollout/step_types.h"

namespace linenpier::rollout {

struct CoordinatorOptions {
  Duration silence_limit = std::chrono::milliseconds(2500);  ///< Without progress: sample is lost.
  Duration adoption_time =
      std::chrono::milliseconds(1200);                      ///< New coordinators wait for progress.
  Duration refused_pause = std::chrono::milliseconds(200);  ///< Before a refused sample is retried.
  std::size_t orders_per_tick = 64;                         ///< Bounds bursts of datagrams.
};

/// Where samples can be made: a zone with its free slots for the model.
struct ZoneCapacity {
  ZoneName zone;
  std::uint32_t slots = 0;
};

/// An order for one sample; the shell picks a live daemon of the zone.
struct ZoneOrder {
  ZoneName zone;
  wire::SampleOrder order;
};

/// A step whose samples are whole and fresh, to be committed now.
struct CommitOrder {
  StepKey step;
  WeightVersion trainer_version = 0;
  std::uint32_t staleness_bound = 0;
  std::vector<Sample> samples;  ///< By index.
};

/// Pure state machine; one owner.
class StepCoordinator {
 public:
  explicit StepCoordinator(CoordinatorOptions options) : options_(options) {}

  /// @return whether the step is new here, so that its row and objects are to be read.
  bool onNotice(Instant now, const StepKey& step);
  /// The step's row and finished samples were read; nothing if that failed.
  void onStepRead(Instant now, const StepKey& step, const std::optional<StepRow>& row,
                  const std::optional<StepSpec>& spec, const std::vector<Sample>& samples,
                  std::uint32_t staleness_bound);
  /// A maker finished a sample or gave it up.
  void onResult(Instant now, const wire::SampleResult& result);
  void onProgress(Instant now, const DaemonId& from, const wire::SampleProgress& progress);
  void onModelHead(const ModelName& model, WeightVersion version);

  /// A trainer asks for a step. @return the status to answer with now.
  wire::PullStatus onPull(Instant now, const StepKey& step, WeightVersion trainer_version);
  void onCommitDone(Instant now, const StepKey& step, bool committed, bool final);

  struct Work {
    std::vector<ZoneOrder> orders;
    std::vector<CommitOrder> commits;
    std::vector<StepKey> reads;  ///< Steps whose row is to be read (again).
    std::vector<std::pair<DaemonId, SampleKey>> cancels;
  };
  /// @param capacity per model, of all zones.
  Work onTick(Instant now, const std::map<ModelName, std::vector<ZoneCapacity>>& capacity);
  /// Forgets steps whose trainer now hashes elsewhere.
  template <typename IsMine>
  void keepOnly(IsMine is_mine) {
    std::erase_if(steps_, [&](const auto& entry) { return !is_mine(entry.first); });
  }

  /// @return models of the steps whose samples are being made.
  std::set<ModelName> modelsOfOpenSteps() const;

  struct Status {
    std::size_t steps = 0;
    std::size_t samples_wanted = 0;
    std::size_t samples_done = 0;
    std::uint64_t replaced_stale = 0;
    std::uint64_t replaced_lost = 0;
  };
  Status status() const;

 private:
  enum class Phase { kUnread, kReading, kMaking, kCommitting, kCommitted };
  struct Slot {
    enum class State { kWanted, kRunning, kDone };
    State state = State::kWanted;
    std::uint32_t attempt = 0;
    DaemonId maker;            ///< Known from progress.
    Instant last_heard{};      ///< When ordered or last heard of.
    Instant not_before{};      ///< Pause before the next order.
    WeightVersion oldest = 0;  ///< Oldest version so far.
    Sample sample;             ///< Valid when done.
  };
  struct Step {
    Phase phase = Phase::kUnread;
    StepSpec spec;
    std::uint32_t bound = 0;
    std::vector<Slot> slots;
    Instant make_after{};  ///< End of the adoption time.
    Instant next_read{};
    bool pulled = false;          ///< A trainer is waiting.
    WeightVersion pulled_at = 0;  ///< The version that it named.
    bool refused = false;         ///< Cannot be committed any more.
  };

  struct Anchor {
    std::uint64_t step = 0;
    WeightVersion version = 0;
  };
  void anchor(const StepKey& key, WeightVersion trainer_version);
  /// @return the version the trainer will probably have when it takes the step.
  WeightVersion expectedVersion(const StepKey& key, const Step& step) const;
  void replaceStale(Instant now, const StepKey& key, Step& step, Work& work);
  void replaceSilent(Instant now, Step& step);
  void order(Instant now, const StepKey& key, Step& step,
             const std::map<ModelName, std::vector<ZoneCapacity>>& capacity, std::size_t& budget,
             Work& work);
  std::optional<CommitOrder> commitIfWhole(const StepKey& key, Step& step) const;
  std::size_t running(const ModelName& model) const;

  CoordinatorOptions options_;
  std::map<StepKey, Step> steps_;             ///< Steps of this daemon's trainers.
  std::map<ModelName, WeightVersion> heads_;  ///< Newest weights known.
  /// The latest step that each trainer pulled, with the version that it named. Each later step is
  /// taken one version later.
  std::map<std::pair<TenantId, TrainerId>, Anchor> anchors_;
  std::uint64_t zone_turn_ = 0;
  std::uint64_t replaced_stale_ = 0;
  std::uint64_t replaced_lost_ = 0;
};

}  // namespace linenpier::rollout
