#pragma once

/// @file
/// Deals engines of one service to the models that are trained on them. An engine that changes the
/// weights of several models in turn is busy loading all the time; with one model each, a new
/// version needs as few loads as there are engines for that model. Only as many engines are dealt
/// as models can make use of, so that what the holder of the right to order does at each look grows
/// with the work and not with the service. Pure.

#include <map>
#include <set>
#include <vector>

#include "gateway/engines/engine_registry.h"

namespace linenpier::versions {

/// How many engines each model can make use of.
using EnginesWanted = std::map<ModelName, std::size_t>;

/// Keeps what it has dealt as far as it can: engines move only when the shares differ by more than
/// one.
class EngineShares {
 public:
  /// @param engines those of the service that are not draining.
  /// @param wanted of the models that need engines now; they get no more, and less in equal shares
  ///     where there are too few.
  /// @param named the newest version of each model.
  void update(const engines::EngineList& engines, const EnginesWanted& wanted,
              const std::map<ModelName, WeightVersion>& named);

  /// @return the number of engines for the model.
  std::size_t sizeOf(const ModelName& model) const;
  /// @return the model of each engine that is dealt.
  const std::map<EngineId, ModelName>& dealt() const { return dealt_; }
  /// @return the engines for the model.
  const std::set<EngineId>& enginesFor(const ModelName& model) const;
  void reset();

 private:
  void pickService(const engines::EngineState& engine, const ModelName& model);
  void takeBack(const EngineId& engine);
  void takeBackGone(const engines::EngineList& engines, const EnginesWanted& wanted);
  void takeBackSpare(const engines::EngineList& engines, const EnginesWanted& wanted);
  /// A daemon that has just taken over goes on with what the engines hold.
  void adopt(const engines::EngineList& engines, const EnginesWanted& wanted,
             const std::map<ModelName, WeightVersion>& named);
  void dealFree(const engines::EngineList& engines, const EnginesWanted& wanted);
  void evenOut(const engines::EngineList& engines, const EnginesWanted& wanted);
  /// @return the model with the fewest engines of those that could use one more; empty: none could.
  ModelName neediest(const EnginesWanted& wanted) const;
  ModelName largest(const EnginesWanted& wanted) const;
  /// @return whether the model has its part of engines in the zone already.
  bool hasEnoughIn(const ZoneName& zone, const ModelName& model, std::size_t wanted) const;

  std::map<EngineId, ModelName> dealt_;
  std::map<ModelName, std::set<EngineId>> by_model_;
  std::map<ModelName, std::map<ZoneName, std::size_t>> by_zone_;
  std::map<EngineId, ZoneName> zones_;  ///< Of the engines that are dealt.
  std::set<ZoneName> all_zones_;        ///< That the service has engines in.
  EngineId next_;                       ///< The next free engine is looked for from here on.
  bool adopted_ = false;
};

}  // namespace linenpier::versions
