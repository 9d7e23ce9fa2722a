#pragma once

/** @file
 * Text of items that are not appended, for whoever goes on with them. It is kept in parts: each
 * holds what was added since the one before, so that a long text is not written again and again.
 */

#include <optional>
#include <string>
#include <vector>

#include "gateway/batch/batch_types.h"

namespace linenpier::batch {

struct item_checkpoint {
  std::size_t item_index = 0;  ///< In the job that it was kept of.
  std::uint64_t last_event = 0;
  std::set<WeightVersion> versions;        ///< That made the text's events.
  std::string text;                        ///< Data of the events up to `last_event`.
  bool finished = false;                   ///< The text is complete, but was not appended.
  std::optional<reward_score> score = {};  ///< Of a complete text.
  /// The text begins behind this event, as an addition to what an earlier part has; 0: it is all.
  std::uint64_t after_event = 0;

  bool operator==(const item_checkpoint&) const = default;
};

using checkpoint_texts = std::vector<item_checkpoint>;

/** @param parts in the order in which they were written. An addition to a text that no part before
 *     has is left out: that part was never written, and a later one has all of the text.
 * @return each item once, with all of its text that the parts have.
 */
checkpoint_texts mergeParts(const std::vector<checkpoint_texts>& parts);

std::string encodeCheckpoint(const checkpoint_texts& checkpoint);
/** @return nothing if the bytes are no checkpoint. */
std::optional<checkpoint_texts> decodeCheckpoint(const std::string& bytes);

}  // namespace linenpier::batch
