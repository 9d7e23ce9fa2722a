#include "gateway/usage/usage_counter.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace linenpier::usage {

using nlohmann::json;

namespace {

/// Maximum number of requests kept while their window is unknown because this daemon has not
/// reached the store since its start. Enough for some minutes of a daemon's share of the peak load.
constexpr std::size_t kMaxUnassigned = 20000;

}  // namespace

std::string encodeCounts(const tenant_counts& counts) {
  json document = json::object();
  for (const auto& [tenant, count] : counts) document[tenant.str()] = count;
  return document.dump();
}

std::optional<tenant_counts> decodeCounts(const std::string& text) {
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) return std::nullopt;
  tenant_counts counts;
  for (const auto& [tenant, count] : document.items()) {
    if (!count.is_number_unsigned()) return std::nullopt;
    counts[TenantId(tenant)] = count.get<std::uint64_t>();
  }
  return counts;
}

void addCounts(const tenant_counts& more, tenant_counts& sum) {
  for (const auto& [tenant, count] : more) sum[tenant] += count;
}

bool usage_counter::onRequestStarted(Instant at, const TenantId& tenant) {
  if (this->unassigned_.size() >= kMaxUnassigned) return false;
  this->unassigned_.push_back({at, tenant});
  return true;
}

void usage_counter::assign(const window_finder& find) {
  std::erase_if(this->unassigned_, [&](const started_request& each) {
    const auto window = find(each.at);
    if (!window) return false;
    window_counts& counts = this->windows_[*window];
    ++counts.counts[each.tenant];
    ++counts.total;
    return true;
  });
}

std::vector<window_number> usage_counter::unsaved() const {
  std::vector<window_number> found;
  for (const auto& [window, counts] : this->windows_) {
    if (counts.unsaved()) found.push_back(window);
  }
  return found;
}

void usage_counter::discardBefore(window_number window) {
  std::erase_if(this->windows_, [window](const auto& each) {
    return each.first < window && !each.second.unsaved();
  });
}

bool usage_counter::idle() const {
  return this->unassigned_.empty() && this->unsaved().empty();
}

}  // namespace linenpier::usage
