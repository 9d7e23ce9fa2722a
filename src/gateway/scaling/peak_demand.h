#pragma once

/** @file
 * Computes the peak number of engines that the open work needed recently. Does no I/O.
 */

#include <map>
#include <optional>

#include "gateway/scaling/scaling_options.h"

namespace linenpier::scaling {

class peak_demand {
 public:
  /** @param items open items of active jobs now.
   * @param slots slots of one engine.
   * @return engines needed for the peak within the window; nothing until a whole window was
   * observed, so that a new leader does not mistake a pause between two jobs for the end of all
   * work.
   */
  std::optional<std::size_t> onOpenItems(Instant now, const scaling_options& options,
                                         std::size_t items, std::uint32_t slots);

 private:
  Instant started_at_{};  ///< Time of the first observation; zero: there was none.
  /// Numbers of open items that exceed all later observations, and hence decrease with time.
  std::map<Instant, std::size_t> items_;
};

}  // namespace linenpier::scaling
