#include "gateway/versions/load_demand.h"

#include <algorithm>
#include <cmath>

namespace linenpier::versions {

void load_demand::onOpenWork(Instant now, const open_work_by_model& work) {
  for (const auto& [model, open] : work) {
    peak& known = this->peaks_[model];
    if (open.items < known.items && now - known.at < this->options_.peak_window) continue;
    known = {open.items, now};
  }
}

std::size_t load_demand::enginesFor(const ModelName& model, std::uint32_t slots) const {
  const auto at = this->peaks_.find(model);
  if (at == this->peaks_.end()) return this->options_.min_engines;
  const double filled = static_cast<double>(at->second.items) / std::max(1U, slots);
  const auto needed = static_cast<std::size_t>(std::ceil(filled * this->options_.headroom));
  return std::max(this->options_.min_engines, needed);
}

}  // namespace linenpier::versions
