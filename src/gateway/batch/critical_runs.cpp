#include "gateway/batch/critical_runs.h"

#include <algorithm>

namespace linenpier::batch {

std::vector<ItemIndex> criticalRuns(const batch_run& run, const length_estimator& lengths) {
  if (run.stepComplete()) return {};
  std::vector<std::pair<double, ItemIndex>> by_remaining;
  for (ItemIndex item = 0; item < run.job().items.size(); ++item) {
    const item_progress& progress = run.progress(item);
    if (progress.state != ItemState::kRunning) continue;
    const std::uint64_t hint = run.job().items[item].length_hint;
    by_remaining.emplace_back(lengths.remainingEvents(hint, progress.last_event), item);
  }
  std::sort(by_remaining.rbegin(), by_remaining.rend());
  std::vector<ItemIndex> critical;
  for (const auto& [remaining, item] : by_remaining) {
    const bool is_long = remaining > 0 && 2 * remaining >= by_remaining.front().first;
    if (critical.size() == kMaxCriticalRuns || !is_long) break;
    critical.push_back(item);
  }
  return critical;
}

}  // namespace linenpier::batch
