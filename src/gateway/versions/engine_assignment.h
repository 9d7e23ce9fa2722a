#pragma once

/** @file
 * Assigns engines of one service to the models that are trained on them. Pure.
 *
 * An engine that changed the weights of several models in turn would be busy loading all the time;
 * with one model each, a new version takes as few loads as there are engines for that model. No
 * more engines are assigned than the models can use, so that the leader's work at each tick grows
 * with the open work and not with the size of the service.
 */

#include <map>
#include <set>
#include <vector>

#include "gateway/engines/engine_registry.h"

namespace linenpier::versions {

/** How many engines each model can use. */
using engines_wanted = std::map<ModelName, std::size_t>;

/** Keeps assignments as far as it can: engines move from model to model only when the models'
 * numbers differ by more than one.
 *
 * Invariant: an engine is assigned to at most one model; `by_model_`, `by_zone_` and `zones_` say
 * the same as `model_of_`.
 */
class engine_assignment {
 public:
  /** @param engines those of the service that are not draining.
   * @param wanted of the models that need engines now. They get no more, and equal numbers where
   *     there are too few.
   * @param newest_versions the newest version of each model.
   */
  void update(const engines::engine_list& engines, const engines_wanted& wanted,
              const std::map<ModelName, WeightVersion>& newest_versions);
  /** Forgets all; the next update goes on with what the engines hold. */
  void reset();

  /** @return the model of each engine that is assigned. */
  const std::map<EngineId, ModelName>& all() const { return this->model_of_; }
  /** @return the engines of the model. */
  const std::set<EngineId>& enginesFor(const ModelName& model) const;
  /** @return how many engines the model has. */
  std::size_t sizeOf(const ModelName& model) const;

 private:
  void assign(const engines::engine_state& engine, const ModelName& model);
  void release(const EngineId& engine);
  /** Releases engines that are no longer listed, and those of models that need none. */
  void releaseLost(const engines::engine_list& engines, const engines_wanted& wanted);
  /** Releases what a model has far beyond its use. */
  void releaseSurplus(const engines::engine_list& engines, const engines_wanted& wanted);
  /** Assigns engines to the model whose weights they hold: a new leader goes on where the one
   * before stood.
   */
  void adopt(const engines::engine_list& engines, const engines_wanted& wanted,
             const std::map<ModelName, WeightVersion>& newest_versions);
  /** Assigns free engines, spread over the zones where that is possible. */
  void assignFree(const engines::engine_list& engines, const engines_wanted& wanted);
  /** Moves engines from the model with the most to those that have too few. */
  void balance(const engines::engine_list& engines, const engines_wanted& wanted);
  /** @return the model with the fewest engines of those that can use one more; empty: none can. */
  ModelName modelWithFewestEngines(const engines_wanted& wanted) const;
  /** @return the model with the most engines; `wanted` must not be empty. */
  ModelName modelWithMostEngines(const engines_wanted& wanted) const;
  /** @return whether the model has its part of engines in the zone already. */
  bool hasEnoughIn(const ZoneName& zone, const ModelName& model, std::size_t wanted) const;

  std::map<EngineId, ModelName> model_of_;  ///< Of the engines that are assigned.
  std::map<ModelName, std::set<EngineId>> by_model_;
  std::map<ModelName, std::map<ZoneName, std::size_t>> by_zone_;
  std::map<EngineId, ZoneName> zones_;  ///< Of the engines that are assigned.
  std::set<ZoneName> all_zones_;        ///< That engines of the service were seen in.
  EngineId next_;                       ///< The search for a free engine goes on here.
  bool adopted_ = false;                ///< Whether what the engines hold was taken over.
};

}  // namespace linenpier::versions
