#pragma once

/** @file
 * Assigns the engines of one service to the models that are trained on them. Does no I/O.
 *
 * An engine that served several models would spend its time loading weights. With one model per
 * engine, a new version needs only one load per engine of its model. Only as many engines are
 * assigned as the models can use, so that the cost of a tick depends on the open work and not on
 * the size of the service.
 */

#include <map>
#include <set>
#include <vector>

#include "gateway/engines/engine_registry.h"

namespace linenpier::versions {

/** How many engines each model can use. */
using engines_wanted = std::map<ModelName, std::size_t>;

/** Keeps assignments stable: engines move between models only when the models' counts differ by
 * more than one.
 *
 * Invariant: an engine is assigned to at most one model; `by_model_`, `by_zone_` and `zones_` are
 * consistent with `model_of_`.
 */
class engine_assignment {
 public:
  /** @param engines engines of the service that are not draining.
   * @param wanted engines for each model that needs any now. A model gets at most this many; if
   * there are too few, the models get equal numbers.
   * @param newest_versions the newest version of each model.
   */
  void update(const engines::engine_list& engines, const engines_wanted& wanted,
              const std::map<ModelName, WeightVersion>& newest_versions);
  /** Clears all assignments; the next update starts from the versions that the engines hold. */
  void reset();

  /** @return the model of each assigned engine. */
  const std::map<EngineId, ModelName>& all() const { return this->model_of_; }
  /** @return the engines of the model. */
  const std::set<EngineId>& enginesFor(const ModelName& model) const;
  /** @return how many engines are assigned to the model. */
  std::size_t sizeOf(const ModelName& model) const;

 private:
  void assign(const engines::engine_state& engine, const ModelName& model);
  void release(const EngineId& engine);
  /** Releases engines that are no longer listed and those of models that need none. */
  void releaseUnneeded(const engines::engine_list& engines, const engines_wanted& wanted);
  /** Releases the surplus of models that have far more engines than they can use. */
  void releaseSurplus(const engines::engine_list& engines, const engines_wanted& wanted);
  /** Assigns engines to the model whose newest weights they hold, so that a new leader continues
   * with the assignments of the previous one.
   */
  void adopt(const engines::engine_list& engines, const engines_wanted& wanted,
             const std::map<ModelName, WeightVersion>& newest_versions);
  /** Assigns free engines, spread over the zones if possible. */
  void assignFree(const engines::engine_list& engines, const engines_wanted& wanted);
  /** Moves engines from the model with the most engines to models with too few. */
  void balance(const engines::engine_list& engines, const engines_wanted& wanted);
  /** @return the model with the fewest engines among those that can use another one; empty if there
   * is none.
   */
  ModelName modelWithFewestEngines(const engines_wanted& wanted) const;
  /** @return the model with the most engines; `wanted` must not be empty. */
  ModelName modelWithMostEngines(const engines_wanted& wanted) const;
  /** @return whether the model already has its share of engines in the zone. */
  bool hasEnoughIn(const ZoneName& zone, const ModelName& model, std::size_t wanted) const;

  std::map<EngineId, ModelName> model_of_;  ///< Model of each assigned engine.
  std::map<ModelName, std::set<EngineId>> by_model_;
  std::map<ModelName, std::map<ZoneName, std::size_t>> by_zone_;
  std::map<EngineId, ZoneName> zones_;  ///< Zone of each assigned engine.
  std::set<ZoneName> all_zones_;        ///< Zones in which engines of the service were seen.
  EngineId next_;                       ///< The search for a free engine resumes here.
  bool adopted_ = false;                ///< Whether adopt() has run since the last reset.
};

}  // namespace linenpier::versions
