#pragma once

/** @file
 * Text of items that are not listed, for whoever goes on with them.
 */

#include <optional>
#include <string>
#include <vector>

#include "batch/batch_types.h"

namespace linenpier::batch {

struct ItemCheckpoint {
  std::size_t item_index = 0;  ///< In the job that it was kept of.
  std::uint64_t last_event = 0;
  std::set<WeightVersion> versions;        ///< That made the text's events.
  std::string text;                        ///< Data of events 1 to `last_event`.
  bool finished = false;                   ///< The text is whole, but was not listed.
  std::optional<reward_score> score = {};  ///< Of a whole text.

  bool operator==(const ItemCheckpoint&) const = default;
};

using Checkpoint = std::vector<ItemCheckpoint>;

std::string encodeCheckpoint(const Checkpoint& checkpoint);
/// @return nothing if the bytes are no checkpoint.
std::optional<Checkpoint> decodeCheckpoint(const std::string& bytes);

}  // namespace linenpier::batch
