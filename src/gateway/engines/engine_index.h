#pragma once

/** @file
 * Two indexes: the engines of each service, and the engines of each service by the version of a
 * model that they hold. Both list engines in this daemon's order: by a hash of the engine id that
 * is seeded per daemon. A selection stops after a bounded number of candidates in this order, so
 * that its cost does not grow with the service. As the order differs between daemons, load spreads
 * over all engines, while each daemon reuses its connections to a few of them. Does no I/O.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <set>

#include "common/ids.h"

namespace linenpier::engines {

struct engine_state;

/** Indexes of the engines of one `engine_table`, as pointers. The table must remove an engine from
 * the indexes before changing its service or versions, and add the engine again afterwards.
 */
class engine_index {
 public:
  struct entry {
    std::uint64_t seeded_hash = 0;  ///< Hash of the engine id; determines the order of engines.
    const engine_state* engine = nullptr;
  };
  struct by_seeded_hash {
    bool operator()(const entry& left, const entry& right) const;
  };
  using engine_order = std::set<entry, by_seeded_hash>;
  /** Engines by weight version, newest version first, so that a bounded selection prefers the
   * newest weights. */
  using version_index = std::map<WeightVersion, engine_order, std::greater<>>;

  /** @param seed seed of this daemon's order. */
  explicit engine_index(std::uint64_t seed) : seed_(seed) {}

  void add(const engine_state& engine);
  void remove(const engine_state& engine);

  const engine_order& ofService(const ServiceName& service) const;
  /** @return the engines of the service by the version of the model that they hold. The index of a
   * model is built at the first call for the model and updated incrementally from then on.
   */
  const version_index& byVersion(const ServiceName& service, const ModelName& model);

 private:
  using indexes_by_model = std::map<ModelName, version_index>;

  entry entryOf(const engine_state& engine) const;

  std::uint64_t seed_;
  std::map<ServiceName, engine_order> services_;
  std::map<ServiceName, indexes_by_model>
      models_;  ///< Indexes of the models that `byVersion` was called for.
};

}  // namespace linenpier::engines
