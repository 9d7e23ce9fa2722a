#pragma once

/** @file
 * Groups that a trainer hands in again because an earlier job ended before they were complete. A
 * job waits for every one of them, and may go on with the text that they had so far. Pure.
 */

#include <map>
#include <set>

#include "gateway/batch/batch_types.h"
#include "gateway/batch/checkpoint.h"

namespace linenpier::batch {

/** What earlier jobs of the same route and model left. */
class partial_results {
 public:
  /** Adds an earlier job. Of two texts of one item the longer one stays.
   * @param kept text of its items that were not finished.
   */
  void addJob(const batch_job& earlier, const checkpoint_texts& kept);

  /** @return whether the item was handed in before. */
  bool contains(const ItemId& item) const { return this->items_.contains(item); }
  /** @return what is kept of the item, or nullptr. */
  const item_checkpoint* textOf(const ItemId& item) const;
  bool empty() const { return this->items_.empty(); }

 private:
  std::set<ItemId> items_;
  std::map<ItemId, item_checkpoint> texts_;
};

}  // namespace linenpier::batch
