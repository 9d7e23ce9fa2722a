#pragma once

/// @file
/// Brings named weight versions to the engines of one service by fenced orders, a few at a time.
/// Pure; runs at the daemon that holds the service's right to order.

#include <map>
#include <optional>
#include <vector>

#include "engines/engine_registry.h"

namespace linenpier::versions {

/// What happens to runs of the model when the weights change.
enum class LoadMode {
  kWait,    ///< They end first.
  kCancel,  ///< They are reset.
  kRetain,  ///< They go on under the new version.
};

struct VersionOrder {
  EngineId engine;
  Address address;
  ModelName model;
  WeightVersion version = 0;
  LoadMode mode = LoadMode::kRetain;
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

struct RolloutOptions {
  std::size_t at_once = 2;  ///< Engines that load; more at a time slow each other down.
  Duration load_time = std::chrono::milliseconds(900);  ///< Of one change.
  Duration confirm_time = std::chrono::milliseconds(3500);  ///< Until discovery shows it.
  Duration busy_pause = std::chrono::milliseconds(250);
  Duration unknown_pause = std::chrono::milliseconds(400);
  Duration rejected_pause = std::chrono::seconds(2);
};

class VersionRollout {
 public:
  explicit VersionRollout(RolloutOptions options) : options_(options) {}

  void onNamed(const ModelName& model, WeightVersion version);
  WeightVersion named(const ModelName& model) const;
  const std::map<ModelName, WeightVersion>& allNamed() const { return named_; }

  /// @param engines those of the service that are not draining.
  /// @return the orders to send now. Each counts as being sent until it is answered.
  std::vector<VersionOrder> onTick(Instant now,
                                   const std::vector<const engines::EngineState*>& engines);
  void onAnswer(Instant now, const VersionOrder& order, OrderAnswer answer);
  /// The engine told how many orders it has taken.
  void onSequence(const EngineId& engine, std::uint64_t sequence);
  /// @return whether the sequence must be asked for before an order may be sent.
  bool needsSequence(const EngineId& engine) const;
  /// The right to order is gone, or new: what engines have taken must be asked again.
  void reset() { progress_.clear(); }

 private:
  struct Progress {
    bool sending = false;
    Instant loading_until{};       ///< The engine is taken to load until then.
    Instant not_before{};
    std::optional<std::uint64_t> sequence;
    std::map<ModelName, WeightVersion> confirmed;  ///< From the engine's own answers.
    std::map<ModelName, Instant> confirmed_at;
  };
  bool isBehind(Instant now, const engines::EngineState& engine, const ModelName& model) const;

  RolloutOptions options_;
  std::map<ModelName, WeightVersion> named_;
  std::map<EngineId, Progress> progress_;
};

}  // namespace linenpier::versions
