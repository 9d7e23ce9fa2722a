#include "gateway/batch/item_placement.h"

#include <algorithm>

namespace linenpier::batch {

namespace {
constexpr double kPromptTokens = 300;  ///< Typical length of a prompt.
}  // namespace

const engines::engine_state* pickFrom(Instant now, engines::engine_registry& registry,
                                      const std::vector<engines::engine_request>& wanted) {
  for (const engines::engine_request& each : wanted) {
    if (const auto* engine = registry.pick(now, each)) return engine;
  }
  return nullptr;
}

double expectedTokens(const batch_item& item) {
  if (item.length_hint == 0) return item.tokens;
  return std::min(item.tokens, static_cast<double>(item.length_hint) + kPromptTokens);
}

engines::engine_request engineRequirementsFor(const batch_run& run, ItemIndex item,
                                              const routing::Route& route,
                                              const ServiceName& service,
                                              const routing::Configuration& table,
                                              double max_per_slot) {
  const batch_item& each = run.job().items[item];
  engines::engine_request wanted;
  wanted.service = service;
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
  const auto known = table.services.find(service);
  if (known != table.services.end()) wanted.memory_tokens = known->second.memory_tokens;
  return wanted;
}

item_placement placeItem(Instant now, engines::engine_registry& registry,
                         const item_progress& progress,
                         std::vector<engines::engine_request> wanted) {
  item_placement placement;
  const bool avoids_engine = progress.failures > 0 && !progress.last_engine.empty();
  if (avoids_engine) {
    for (engines::engine_request& each : wanted) each.excluded.insert(progress.last_engine);
  }
  placement.engine = pickFrom(now, registry, wanted);
  if (placement.engine == nullptr && avoids_engine) {
    for (engines::engine_request& each : wanted) each.excluded.erase(progress.last_engine);
    placement.engine = pickFrom(now, registry, wanted);
  }
  if (placement.engine == nullptr && !wanted.empty() && wanted.front().exact_version) {
    placement.discard_text = true;
    for (engines::engine_request& each : wanted) each.exact_version.reset();
    placement.engine = pickFrom(now, registry, wanted);
  }
  return placement;
}

}  // namespace linenpier::batch
