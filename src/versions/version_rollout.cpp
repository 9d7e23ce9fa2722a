#include "versions/version_rollout.h"

#include <algorithm>

namespace linenpier::versions {

void VersionRollout::onNamed(const ModelName& model, WeightVersion version) {
  WeightVersion& known = named_[model];
  known = std::max(known, version);
}

WeightVersion VersionRollout::named(const ModelName& model) const {
  const auto at = named_.find(model);
  return at == named_.end() ? 0 : at->second;
}

bool VersionRollout::needsSequence(const EngineId& engine) const {
  const auto at = progress_.find(engine);
  return at == progress_.end() || !at->second.sequence;
}

void VersionRollout::onSequence(const EngineId& engine, std::uint64_t sequence) {
  progress_[engine].sequence = sequence;
}

bool VersionRollout::isBehind(Instant now, const engines::EngineState& engine,
                              const ModelName& model) const {
  const WeightVersion wanted = named(model);
  const auto at = progress_.find(engine.record.id);
  if (at != progress_.end()) {
    const auto confirmed = at->second.confirmed.find(model);
    const auto since = at->second.confirmed_at.find(model);
    // Discovery lags behind what the engine itself has answered.
    if (confirmed != at->second.confirmed.end() && confirmed->second >= wanted &&
        now - since->second < options_.confirm_time) {
      return false;
    }
  }
  return engine.versionOf(model) < wanted;
}

std::vector<VersionOrder> VersionRollout::onTick(
    Instant now, const std::vector<const engines::EngineState*>& engines) {
  std::size_t loading = 0;
  for (const auto& [id, progress] : progress_) {
    if (progress.sending || now < progress.loading_until) ++loading;
  }
  std::vector<const engines::EngineState*> candidates = engines;
  std::sort(candidates.begin(), candidates.end(),
            [](const engines::EngineState* one, const engines::EngineState* other) {
              const double one_load = one->in_flight + one->others;
              const double other_load = other->in_flight + other->others;
              if (one_load != other_load) return one_load < other_load;
              return one->record.id < other->record.id;
            });
  std::vector<VersionOrder> orders;
  for (const engines::EngineState* engine : candidates) {
    if (loading + orders.size() >= options_.at_once) break;
    Progress& progress = progress_[engine->record.id];
    if (progress.sending || now < progress.loading_until || now < progress.not_before) continue;
    for (const auto& [model, version] : named_) {
      if (!engine->record.models.contains(model) || !isBehind(now, *engine, model)) continue;
      VersionOrder order;
      order.engine = engine->record.id;
      order.address = engine->record.address;
      order.model = model;
      order.version = version;
      order.expected_sequence = progress.sequence;
      orders.push_back(order);
      progress.sending = true;
      break;
    }
  }
  return orders;
}

void VersionRollout::onAnswer(Instant now, const VersionOrder& order, OrderAnswer answer) {
  Progress& progress = progress_[order.engine];
  progress.sending = false;
  switch (answer) {
    case OrderAnswer::kUnderWay:
      progress.loading_until = now + options_.load_time;
      if (progress.sequence) ++*progress.sequence;
      progress.confirmed[order.model] = order.version;
      progress.confirmed_at[order.model] = now;
      break;
    case OrderAnswer::kInForce:
      progress.confirmed[order.model] = order.version;
      progress.confirmed_at[order.model] = now;
      break;
    case OrderAnswer::kBusy:
      progress.sequence.reset();
      progress.not_before = now + options_.busy_pause;
      break;
    case OrderAnswer::kUnknown:
      // The same sequence is expected again: at most one of both orders is ever carried out.
      progress.not_before = now + options_.unknown_pause;
      break;
    case OrderAnswer::kFenced:
    case OrderAnswer::kRejected:
      progress.sequence.reset();
      progress.not_before = now + options_.rejected_pause;
      break;
  }
}

}  // namespace linenpier::versions
