#pragma once

/** @file
 * Tracks which text of a job is checkpointed, so that each part of the checkpoint holds only what
 * is new. Pure.
 */

#include <cstdint>
#include <map>
#include <optional>

#include "gateway/batch/batch_run.h"
#include "gateway/batch/checkpoint.h"

namespace linenpier::batch {

/** The next part to write. */
struct checkpoint_part {
  item_checkpoints texts;
  std::vector<std::uint32_t> revisions;  ///< `item_progress::text_revision` of each text.
  /// Whether the part holds the full text of each item and makes earlier parts obsolete.
  bool full = false;
  std::uint64_t events = 0;  ///< Number of events that are new in this part.
};

class checkpoint_tracker {
 public:
  /** @return the text added since the last part. The first part is full, and so is one part in
   *     `kMaxParts`, which bounds how many parts must be read to resume.
   */
  checkpoint_part next(const batch_run& run) const;

  /** Records that a part was written; the next part extends it. */
  void onWritten(const checkpoint_part& part);
  /** Records that the outcome of a write is unknown; the next part must be full. */
  void onWriteUnknown() { this->written_.reset(); }

 private:
  /** Checkpointed state of an item. */
  struct written_text {
    std::uint64_t last_event = 0;
    std::size_t bytes = 0;
    std::uint32_t revision = 0;  ///< Value of `item_progress::text_revision`.
    bool finished = false;
    bool scored = false;
  };
  using written_texts = std::map<ItemIndex, written_text>;

  std::optional<item_checkpoint> delta(const batch_run& run, ItemIndex item, bool full) const;

  std::optional<written_texts> written_;  ///< Checkpointed text; absent if unknown.
  std::size_t parts_ = 0;                 ///< Number of parts since the last full one, inclusive.
};

}  // namespace linenpier::batch
