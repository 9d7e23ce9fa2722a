#include "gateway/batch/partial_results.h"

namespace linenpier::batch {

void partial_results::addJob(const batch_job& earlier, const item_checkpoints& checkpoint) {
  for (const batch_item& item : earlier.items) this->items_.insert(item.id);
  for (const item_checkpoint& text : checkpoint) {
    if (text.item_index >= earlier.items.size()) continue;
    item_checkpoint& longest = this->texts_[earlier.items[text.item_index].id];
    if (text.last_event > longest.last_event) longest = text;
  }
}

const item_checkpoint* partial_results::textOf(const ItemId& item) const {
  const auto at = this->texts_.find(item);
  return at == this->texts_.end() ? nullptr : &at->second;
}

}  // namespace linenpier::batch
