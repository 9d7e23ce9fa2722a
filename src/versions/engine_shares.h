#pragma once

/// @file
/// Deals the engines of one service to the models that are trained on them. An engine that changes
/// the weights of several models in turn is busy loading all the time; with one model each, a new
/// version needs as few loads as there are engines for that model. Pure.

#include <map>
#include <set>
#include <vector>

#include "engines/engine_registry.h"

namespace linenpier::versions {

/// Keeps what it has dealt as far as it can: engines move only when the shares differ by more than
/// one.
class EngineShares {
 public:
  /// @param engines those of the service that are not draining.
  /// @param models those that need engines now.
  /// @param named the newest version of each model.
  void update(const std::vector<const engines::EngineState*>& engines,
              const std::set<ModelName>& models, const std::map<ModelName, WeightVersion>& named);

  /// @return whether the engine should hold the newest weights of the model.
  bool isFor(const EngineId& engine, const ModelName& model) const;
  /// @return the number of engines for the model.
  std::size_t sizeOf(const ModelName& model) const;
  void reset() { dealt_.clear(); }

 private:
  void dropGone(const std::vector<const engines::EngineState*>& engines,
                const std::set<ModelName>& models);
  void dealNew(const std::vector<const engines::EngineState*>& engines,
               const std::set<ModelName>& models, const std::map<ModelName, WeightVersion>& named);
  void evenOut(const std::set<ModelName>& models);
  ModelName smallest(const std::set<ModelName>& models) const;
  ModelName largest(const std::set<ModelName>& models) const;

  std::map<EngineId, ModelName> dealt_;
};

}  // namespace linenpier::versions
