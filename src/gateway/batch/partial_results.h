#pragma once

/** @file
 * Partial results of earlier jobs whose groups a trainer has submitted again. The new job waits for
 * all of these groups and may resume their text. Pure.
 */

#include <map>
#include <set>

#include "gateway/batch/batch_types.h"
#include "gateway/batch/checkpoint.h"

namespace linenpier::batch {

/** Items and texts of earlier jobs of the same route and model. */
class partial_results {
 public:
  /** Adds an earlier job. Of several texts of an item, the longest is kept.
   * @param checkpoint text of the earlier job's items, finished or not.
   */
  void addJob(const batch_job& earlier, const item_checkpoints& checkpoint);

  /** @return whether an earlier job contained the item. */
  bool contains(const ItemId& item) const { return this->items_.contains(item); }
  /** @return the text of the item, or nullptr. */
  const item_checkpoint* textOf(const ItemId& item) const;
  bool empty() const { return this->items_.empty(); }

 private:
  std::set<ItemId> items_;
  std::map<ItemId, item_checkpoint> texts_;
};

}  // namespace linenpier::batch
