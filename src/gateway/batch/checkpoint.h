#pragma once

/** @file
 * Checkpoints: the text of items that are not appended, from which another owner or job can resume.
 *
 * A checkpoint is stored as a sequence of parts. The first part is full; a later part holds only
 * what is new since the part before, so that long texts are not rewritten each time.
 */

#include <optional>
#include <string>
#include <vector>

#include "gateway/batch/batch_types.h"

namespace linenpier::batch {

struct item_checkpoint {
  std::size_t item_index = 0;  ///< Index of the item in the checkpoint's job.
  std::uint64_t last_event = 0;
  std::set<WeightVersion> versions;        ///< Versions that generated the events.
  std::string text;                        ///< Data of the events up to `last_event`.
  bool finished = false;                   ///< Whether the text is complete, but not appended.
  std::optional<reward_score> score = {};  ///< Score of the text; set only if it is complete.
  /// Event after which `text` starts; 0: `text` is the full text. In an incremental part, `text`
  /// extends the text of the earlier parts.
  std::uint64_t after_event = 0;

  bool operator==(const item_checkpoint&) const = default;
};

/// The items of one part, or of a checkpoint merged from its parts.
using item_checkpoints = std::vector<item_checkpoint>;

/** Merges the parts of a checkpoint.
 * @param parts in the order in which they were written. An increment whose predecessor is missing
 *     is skipped.
 * @return the merged text of each item.
 */
item_checkpoints mergeParts(const std::vector<item_checkpoints>& parts);

std::string encodeCheckpoint(const item_checkpoints& checkpoint);
/** @return the checkpoint, or nothing if the bytes are malformed. */
std::optional<item_checkpoints> decodeCheckpoint(const std::string& bytes);

}  // namespace linenpier::batch
