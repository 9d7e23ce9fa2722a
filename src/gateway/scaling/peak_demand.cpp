#include "gateway/scaling/peak_demand.h"

#include <algorithm>
#include <cmath>

namespace linenpier::scaling {

std::optional<std::size_t> peak_demand::onOpenItems(Instant now, const scaling_options& options,
                                                    std::size_t items, std::uint32_t slots) {
  if (this->started_at_ == Instant{}) this->started_at_ = now;
  std::erase_if(this->items_, [&](const auto& each) {
    return each.second <= items || now - each.first > options.peak_window;
  });
  this->items_[now] = items;
  if (now - this->started_at_ < options.peak_window) return std::nullopt;
  const std::size_t most = this->items_.begin()->second;
  const double per_engine = std::max(1U, slots) * options.items_per_slot;
  return static_cast<std::size_t>(std::ceil(static_cast<double>(most) / per_engine));
}

}  // namespace linenpier::scaling
