#pragma once

/** @file
 * The persistent scaling state of a service, which a new leader continues from: a row of the store.
 */

#include <optional>
#include <string>

#include "gateway/fleet/scaling_bounds.h"

namespace linenpier::scaling {

struct scaling_record {
  /** The number of engines that each group has without scaling, learned from engines that appeared
   * without an order.
   */
  fleet::group_counts baseline;
  /** The last order for each group, stored before it is sent. */
  fleet::group_counts ordered;

  /** @return the count of the group's last order, or its baseline if there is none. */
  std::size_t current(const fleet::engine_group& group) const;
  bool operator==(const scaling_record&) const = default;
};

std::string encodeRecord(const scaling_record& record);
/** @return the record; nothing if the text is malformed. */
std::optional<scaling_record> decodeRecord(const std::string& text);

}  // namespace linenpier::scaling
