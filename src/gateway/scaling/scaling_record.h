#pragma once

/** @file
 * What must outlive the leader that decides on a service's number of engines: a row of the store. A
 * value.
 */

#include <optional>
#include <string>

#include "gateway/fleet/scaling_bounds.h"

namespace linenpier::scaling {

struct scaling_record {
  /** Engines that the service runs with while nothing is missing: those that came without an order.
   */
  fleet::group_counts baseline;
  /** The last order for each group, written down before it was sent. */
  fleet::group_counts ordered;

  /** @return how many engines the group should have: by the last order, else the baseline. */
  std::size_t current(const fleet::engine_group& group) const;
  bool operator==(const scaling_record&) const = default;
};

std::string encodeRecord(const scaling_record& record);
/** @return nothing if the text is no record. */
std::optional<scaling_record> decodeRecord(const std::string& text);

}  // namespace linenpier::scaling
