#pragma once

/** @file
 * What of a job's texts was kept already, so that each part of its checkpoint holds only what is
 * new. Pure; at the job's owner.
 */

#include <cstdint>
#include <map>
#include <optional>

#include "gateway/batch/batch_run.h"
#include "gateway/batch/checkpoint.h"

namespace linenpier::batch {

/** A part that should be written now. */
struct checkpoint_part {
  checkpoint_texts texts;
  std::vector<std::uint32_t> revisions;  ///< Of each text, see ItemProgress::text_revision.
  /// It has all of each text: parts before it are of no use once it is written.
  bool full = false;
  std::uint64_t events = 0;  ///< That it adds to what was kept.
};

class checkpoint_tracker {
 public:
  /** @return what the texts of items that are not appended have gained; all of them in the first
   * part and, now and then, later, since whoever reads them reads all parts from the last whole one
   * on.
   */
  checkpoint_part next(const batch_run& run) const;

  /** The part was written: the next one is added to it. */
  void onWritten(const checkpoint_part& part);
  /** It may or may not be written: the next one must be whole. */
  void onWriteUnknown() { this->written_.reset(); }

 private:
  /** Of one item's text. */
  struct written_text {
    std::uint64_t last_event = 0;
    std::size_t bytes = 0;
    std::uint32_t revision = 0;  ///< See ItemProgress::text_revision.
    bool finished = false;
    bool scored = false;
  };
  using written_texts = std::map<ItemIndex, written_text>;

  std::optional<item_checkpoint> delta(const batch_run& run, ItemIndex item, bool full) const;

  std::optional<written_texts> written_;  ///< Absent: nothing is known to be kept.
  std::size_t parts_ = 0;                 ///< Written since the last whole one, with it.
};

}  // namespace linenpier::batch
