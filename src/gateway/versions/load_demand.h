#pragma once

/** @file
 * How many engines the work for a model needs, so that a large service does not bring each version
 * to engines that the next version would find unused. Pure.
 */

#include <cstdint>
#include <map>

#include "common/ids.h"
#include "common/time.h"

namespace linenpier::versions {

struct demand_options {
  /// However little work there is: services with no more engines than this for a model bring each
  /// version to all of them.
  std::size_t min_engines = 24;
  double headroom = 1.25;  ///< Engines wanted for each engine that the open items fill.
  /// Engines assigned to a model, in times of those that its newest version should come to: a new
  /// version loads on engines that fell empty, while runs under the one before end where they are.
  std::size_t generations = 3;
  /// Steps follow each other: what was open this long ago will be open again.
  Duration memory = std::chrono::seconds(10);
};

/** Work that jobs under way have for a model. */
struct open_work {
  std::size_t items = 0;
  /// Each text must come from one version: what an engine runs is lost when its version changes.
  bool single_version = false;

  bool operator==(const open_work&) const = default;
};

using open_work_by_model = std::map<ModelName, open_work>;

/** The peak of each model's open work of late. */
class load_demand {
 public:
  explicit load_demand(demand_options options) : options_(options) {}

  void onOpenWork(Instant now, const open_work_by_model& work);

  /** @param slots requests that one engine works on at once.
   * @return engines that the model's newest version should come to soon.
   */
  std::size_t enginesFor(const ModelName& model, std::uint32_t slots) const;
  /** @return engines that should be assigned to the model, for its versions to go round. */
  std::size_t enginesToAssign(const ModelName& model, std::uint32_t slots) const {
    return this->options_.generations * this->enginesFor(model, slots);
  }

 private:
  struct peak {
    std::size_t items = 0;
    Instant at{};
  };

  demand_options options_;
  std::map<ModelName, peak> peaks_;
};

}  // namespace linenpier::versions
