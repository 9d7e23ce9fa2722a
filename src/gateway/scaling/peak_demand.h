#pragma once

/** @file
 * The most engines that open work needed of late. Pure.
 */

#include <map>
#include <optional>

#include "gateway/scaling/scaling_options.h"

namespace linenpier::scaling {

class peak_demand {
 public:
  /** @param items of jobs under way now.
   * @param slots of one engine.
   * @return engines that the peak of the work memory needs; nothing before the work was observed
   *     for so long: a new leader must not take a pause between two jobs for the end of all work.
   */
  std::optional<std::size_t> onOpenItems(Instant now, const scaling_options& options,
                                         std::size_t items, std::uint32_t slots);

 private:
  Instant started_at_{};  ///< The first observation; zero: there was none.
  /// Observations that no later one reaches, so that they fall towards the present.
  std::map<Instant, std::size_t> items_;
};

}  // namespace linenpier::scaling
