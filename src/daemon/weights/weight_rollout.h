#pragma once

/// @file
/// Moves the engines that this daemon commands to the newest weights: prefetch, then flip.

#include <map>
#include <set>
#include <vector>

#include "common/time.h"
#include "daemon/ownership/engine_ownership.h"
#include "daemon/ports/engine_client.h"
#include "daemon/upstream/engine_directory.h"

namespace linenpier::weights {

struct WeightRolloutOptions {
  std::size_t prefetches_at_once = 4;  ///< Per daemon; the weight store's rate is shared.
  std::size_t flips_at_once = 1;  ///< Per daemon and serving model: its pool never stops whole.
  Duration retry_pause = std::chrono::milliseconds(500);
  Duration report_lag = std::chrono::seconds(3);  ///< Until reports show what an order did.
};

/// An order to be sent to an engine.
struct EngineOrder {
  EngineId engine;
  engine::FencedOrder order;
};

/// Pure state machine; one owner.
class WeightRollout {
 public:
  explicit WeightRollout(WeightRolloutOptions options) : options_(options) {}

  /// Learns of a version. @return whether it is newer than what was known.
  bool onHead(const wire::ModelHead& head);
  WeightVersion head(const ModelName& model) const;
  std::vector<wire::ModelHead> heads() const;

  /// @param serving_models models that callers wait for; the others' engines flip all at once.
  /// @return the orders that are due, each at most once at a time per engine.
  std::vector<EngineOrder> onTick(Instant now,
                                  const std::map<EngineId, upstream::EngineState>& engines,
                                  const ownership::EngineOwnership& ownership,
                                  const std::set<ModelName>& serving_models);
  void onOrderDone(Instant now, const EngineId& engine, const engine::FencedOrder& order,
                   engine::OrderOutcome outcome);

 private:
  struct Progress {
    bool busy = false;  ///< An order is under way.
    engine::FencedOrder::Kind kind = engine::FencedOrder::Kind::kPrefetch;
    ModelName model;
    WeightVersion prefetched = 0;  ///< Confirmed by our own orders; reports lag behind.
    WeightVersion flipped = 0;
    Instant confirmed_at{};  ///< When the two above were last set.
    Instant not_before{};    ///< Pause after a failure.
  };
  std::size_t busyWith(engine::FencedOrder::Kind kind, const ModelName& model) const;

  WeightRolloutOptions options_;
  std::map<ModelName, WeightVersion> heads_;  ///< Newest version known of each model.
  std::map<EngineId, Progress> progress_;     ///< Of the engines commanded.
};

}  // namespace linenpier::weights
