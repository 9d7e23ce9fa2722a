#pragma once

/** @file
 * The engines of each service in this daemon's order, and which of them hold a version of a model.
 * A choice goes through this order and stops when it has compared enough, so that it examines as
 * many engines in a service of ten thousand as in one of a hundred. The orders of two daemons are
 * unrelated: over all daemons each engine comes early as often as any other, while one daemon keeps
 * to the engines that it has connections to. Pure.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <set>

#include "common/ids.h"

namespace linenpier::engines {

struct engine_state;

/** Points to engines of an `engine_table`. Invariant: the table removes an engine here before it
 * changes the service or a version of the engine, and adds it again afterwards.
 */
class engine_index {
 public:
  struct entry {
    std::uint64_t rank = 0;
    const engine_state* engine = nullptr;
  };
  struct by_rank {
    bool operator()(const entry& left, const entry& right) const;
  };
  using engine_order = std::set<entry, by_rank>;
  /** Newest first: a choice that ends early ends among the newest weights. */
  using version_index = std::map<WeightVersion, engine_order, std::greater<>>;

  /** @param seed of this daemon's order. */
  explicit engine_index(std::uint64_t seed) : seed_(seed) {}

  void add(const engine_state& engine);
  void remove(const engine_state& engine);

  const engine_order& ofService(const ServiceName& service) const;
  /** @return the service's engines by the version of the model that they hold. The first call for a
   *     model goes over all engines of the service; from then on the index is kept up.
   */
  const version_index& byVersion(const ServiceName& service, const ModelName& model);

 private:
  using indexes_by_model = std::map<ModelName, version_index>;

  entry entryOf(const engine_state& engine) const;

  std::uint64_t seed_;
  std::map<ServiceName, engine_order> services_;
  std::map<ServiceName, indexes_by_model> models_;  ///< Of the models asked for.
};

}  // namespace linenpier::engines
