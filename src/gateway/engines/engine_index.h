#pragma once

/** @file
 * The engines of each service, in an order of this daemon's own, and which of them hold a version
 * of a model. A choice goes through this order and ends when it has compared enough, so that it
 * touches as many engines in a service of ten thousand as in one of a hundred. Since the orders of
 * two daemons have nothing in common, each engine stands early in as many orders as any other, and
 * a daemon keeps to engines that it has connections to. Pure.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <set>

#include "common/ids.h"

namespace linenpier::engines {

struct EngineState;

/** Holds no engines of its own: whoever does takes an engine out before it changes what the engine
 * is found by, and puts it in again.
 */
class engine_index {
 public:
  struct entry {
    std::uint64_t rank = 0;
    const EngineState* engine = nullptr;
  };
  struct by_rank {
    bool operator()(const entry& one, const entry& other) const;
  };
  using engine_order = std::set<entry, by_rank>;
  /** Newest first: a choice that ends early ends among the newest weights. */
  using holders = std::map<WeightVersion, engine_order, std::greater<>>;

  /** @param seed of this daemon's order. */
  explicit engine_index(std::uint64_t seed) : seed_(seed) {}

  void put(const EngineState& engine);
  void take(const EngineState& engine);

  const engine_order& ofService(const ServiceName& service) const;
  /** @return the service's engines by the version of the model that they hold. The first question
   *     for a model looks at each engine of the service; from then on the answer is kept up.
   */
  const holders& holding(const ServiceName& service, const ModelName& model);

 private:
  using holders_by_model = std::map<ModelName, holders>;

  entry entryOf(const EngineState& engine) const;

  std::uint64_t seed_;
  std::map<ServiceName, engine_order> services_;
  std::map<ServiceName, holders_by_model> models_;  ///< Of the models that were asked for.
};

}  // namespace linenpier::engines
