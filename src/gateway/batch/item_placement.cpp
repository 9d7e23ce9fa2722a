#include "gateway/batch/item_placement.h"

#include <algorithm>

namespace linenpier::batch {

namespace {
constexpr double kPromptTokens = 300;  ///< Typical length of a prompt.
}  // namespace

double expectedTokens(const batch_item& item) {
  if (item.length_hint == 0) return item.tokens;
  return std::min(item.tokens, static_cast<double>(item.length_hint) + kPromptTokens);
}

engines::engine_request engineRequirementsFor(const batch_run& run, ItemIndex item,
                                              const routing::Route& route,
                                              const routing::Configuration& table,
                                              double max_per_slot) {
  const batch_item& each = run.job().items[item];
  engines::engine_request wanted;
  wanted.service = route.services.front().service;
  wanted.model = each.model;
  wanted.minimum_version = run.job().minimum_version;
  wanted.max_per_slot = max_per_slot;
  wanted.tokens = expectedTokens(each);
  wanted.batching = !each.model.empty();
  wanted.prefer_newest = route.single_version && !each.model.empty();
  const item_progress& progress = run.progress(item);
  if (route.single_version && progress.last_event > 0) {
    wanted.exact_version = *progress.versions.begin();
  }
  const auto service = table.services.find(wanted.service);
  if (service != table.services.end()) wanted.memory_tokens = service->second.memory_tokens;
  return wanted;
}

item_placement placeItem(Instant now, engines::engine_registry& registry,
                         const item_progress& progress, engines::engine_request wanted) {
  item_placement placement;
  if (progress.failures > 0 && !progress.last_engine.empty()) {
    wanted.excluded.insert(progress.last_engine);
  }
  placement.engine = registry.pick(now, wanted);
  if (placement.engine == nullptr && !wanted.excluded.empty()) {
    wanted.excluded.clear();
    placement.engine = registry.pick(now, wanted);
  }
  if (placement.engine == nullptr && wanted.exact_version) {
    placement.discard_text = true;
    wanted.exact_version.reset();
    placement.engine = registry.pick(now, wanted);
  }
  return placement;
}

}  // namespace linenpier::batch
