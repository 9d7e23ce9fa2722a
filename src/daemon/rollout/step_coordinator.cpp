#include "daemon/rollout/step_coordinator.h"

#include <algorithm>
#include <utility>

namespace linenpier::rollout {

bool StepCoordinator::onNotice(Instant now, const StepKey& step) {
  const auto [entry, inserted] = steps_.try_emplace(step);
  if (inserted) entry->second.make_after = now + options_.adoption_time;
  return inserted;
}

void StepCoordinator::onStepRead(Instant now, const StepKey& key, const std::optional<StepRow>& row,
                                 const std::optional<StepSpec>& spec,
                                 const std::vector<Sample>& samples,
                                 std::uint32_t staleness_bound) {
  const auto found = steps_.find(key);
  if (found == steps_.end()) return;
  Step& step = found->second;
  if (row && row->state != StepRow::State::kOpen) {
    step.phase = Phase::kCommitted;
    step.slots.clear();
    anchor(key, row->trainer_version);
    return;
  }
  if (!row || !spec) {
    step.phase = Phase::kUnread;
    step.next_read = now + std::chrono::milliseconds(500);
    return;
  }
  const bool first_read = step.slots.empty();
  step.phase = Phase::kMaking;
  step.bound = staleness_bound;
  if (!first_read) return;
  step.spec = *spec;
  step.slots.resize(spec->sampleCount());
  // A step with nothing made yet is new to everybody, so there is nothing to adopt.
  if (samples.empty()) step.make_after = std::min(step.make_after, now);
  for (const Sample& sample : samples) {
    if (sample.key.index >= step.slots.size()) continue;
    Slot& slot = step.slots[sample.key.index];
    const bool newer =
        slot.state != Slot::State::kDone || sample.oldestVersion() > slot.sample.oldestVersion();
    if (!newer) continue;
    slot.state = Slot::State::kDone;
    slot.attempt = sample.key.attempt;
    slot.oldest = sample.oldestVersion();
    slot.sample = sample;
  }
}

void StepCoordinator::onResult(Instant now, const wire::SampleResult& result) {
  const auto found = steps_.find(result.sample.step);
  if (found == steps_.end()) return;
  Step& step = found->second;
  if (result.sample.index >= step.slots.size()) return;
  Slot& slot = step.slots[result.sample.index];
  if (slot.state == Slot::State::kDone) return;
  if (!result.ok) {
    if (result.sample.attempt != slot.attempt) return;
    slot.state = Slot::State::kWanted;
    ++slot.attempt;
    slot.not_before = now + options_.refused_pause;
    return;
  }
  // Any attempt's whole sample serves, if it is fresh; onTick replaces it if it is not.
  slot.state = Slot::State::kDone;
  slot.sample = {result.sample, result.text, result.pieces};
  slot.oldest = slot.sample.oldestVersion();
}

void StepCoordinator::onProgress(Instant now, const DaemonId& from,
                                 const wire::SampleProgress& progress) {
  for (const wire::SampleState& state : progress.running) {
    const auto found = steps_.find(state.sample.step);
    if (found == steps_.end()) continue;
    Step& step = found->second;
    if (state.sample.index >= step.slots.size()) continue;
    Slot& slot = step.slots[state.sample.index];
    const bool adoptable =
        slot.state == Slot::State::kWanted && state.sample.attempt >= slot.attempt;
    const bool known = slot.state == Slot::State::kRunning && state.sample.attempt == slot.attempt;
    if (!adoptable && !known) continue;
    slot.state = Slot::State::kRunning;
    slot.attempt = state.sample.attempt;
    slot.maker = from;
    slot.last_heard = now;
    slot.oldest = state.oldest;
  }
}

void StepCoordinator::onModelHead(const ModelName& model, WeightVersion version) {
  WeightVersion& known = heads_[model];
  known = std::max(known, version);
}

wire::PullStatus StepCoordinator::onPull(Instant now, const StepKey& key,
                                         WeightVersion trainer_version) {
  onNotice(now, key);
  Step& step = steps_.at(key);
  if (step.phase == Phase::kCommitted) return wire::PullStatus::kCommitted;
  if (step.refused) return wire::PullStatus::kRefused;
  step.pulled = true;
  step.pulled_at = std::max(step.pulled_at, trainer_version);
  anchor(key, trainer_version);
  return wire::PullStatus::kPending;
}

void StepCoordinator::onCommitDone(Instant now, const StepKey& key, bool committed, bool final) {
  const auto found = steps_.find(key);
  if (found == steps_.end()) return;
  Step& step = found->second;
  if (committed) {
    step.phase = Phase::kCommitted;
    step.slots.clear();
    step.spec.groups.clear();
    // Steps long taken are answered from their rows.
    std::erase_if(steps_, [&key](const auto& entry) {
      return entry.first.tenant == key.tenant && entry.first.trainer == key.trainer &&
             entry.first.step + 4 < key.step;
    });
    return;
  }
  step.refused = final;
  // Somebody else may have written the row: look before trying again.
  step.phase = Phase::kUnread;
  step.next_read = now + std::chrono::milliseconds(200);
}

StepCoordinator::Work StepCoordinator::onTick(
    Instant now, const std::map<ModelName, std::vector<ZoneCapacity>>& capacity) {
  Work work;
  std::size_t budget = options_.orders_per_tick;
  for (auto& [key, step] : steps_) {
    if (step.phase == Phase::kUnread && now >= step.next_read) {
      step.phase = Phase::kReading;
      work.reads.push_back(key);
    }
    if (step.phase != Phase::kMaking) continue;
    replaceSilent(now, step);
    replaceStale(now, key, step, work);
    if (now >= step.make_after) order(now, key, step, capacity, budget, work);
    if (auto commit = commitIfWhole(key, step)) {
      step.phase = Phase::kCommitting;
      work.commits.push_back(std::move(*commit));
    }
  }
  return work;
}

std::set<ModelName> StepCoordinator::modelsOfOpenSteps() const {
  std::set<ModelName> models;
  for (const auto& [key, step] : steps_) {
    if (step.phase == Phase::kMaking) models.insert(step.spec.model);
  }
  return models;
}

StepCoordinator::Status StepCoordinator::status() const {
  Status status;
  status.steps = steps_.size();
  status.replaced_stale = replaced_stale_;
  status.replaced_lost = replaced_lost_;
  for (const auto& [key, step] : steps_) {
    status.samples_wanted += step.slots.size();
    for (const Slot& slot : step.slots) status.samples_done += slot.state == Slot::State::kDone;
  }
  return status;
}

WeightVersion StepCoordinator::expectedVersion(const StepKey& key, const Step& step) const {
  if (step.pulled) return step.pulled_at;
  const auto head = heads_.find(step.spec.model);
  const WeightVersion newest = head == heads_.end() ? 0 : head->second;
  const auto anchor = anchors_.find({key.tenant, key.trainer});
  if (anchor == anchors_.end() || key.step < anchor->second.step) return newest;
  // Each step taken before this one publishes one more version.
  return std::max(newest, anchor->second.version + (key.step - anchor->second.step));
}

void StepCoordinator::anchor(const StepKey& key, WeightVersion trainer_version) {
  Anchor& known = anchors_[{key.tenant, key.trainer}];
  if (key.step >= known.step) known = {key.step, std::max(known.version, trainer_version)};
}

void StepCoordinator::replaceStale(Instant now, const StepKey& key, Step& step, Work& work) {
  const WeightVersion expected = expectedVersion(key, step);
  for (std::uint32_t index = 0; index < step.slots.size(); ++index) {
    Slot& slot = step.slots[index];
    const bool made = slot.state != Slot::State::kWanted && slot.oldest != 0;
    if (!made || freshEnough(slot.oldest, expected, step.bound)) continue;
    if (slot.state == Slot::State::kRunning) {
      work.cancels.push_back({slot.maker, {key, index, slot.attempt}});
    }
    slot.state = Slot::State::kWanted;
    ++slot.attempt;
    slot.not_before = now;
    ++replaced_stale_;
  }
}

void StepCoordinator::replaceSilent(Instant now, Step& step) {
  for (Slot& slot : step.slots) {
    if (slot.state != Slot::State::kRunning) continue;
    if (now - slot.last_heard < options_.silence_limit) continue;
    slot.state = Slot::State::kWanted;
    ++slot.attempt;
    slot.not_before = now;
    ++replaced_lost_;
  }
}

void StepCoordinator::order(Instant now, const StepKey& key, Step& step,
                            const std::map<ModelName, std::vector<ZoneCapacity>>& capacity,
                            std::size_t& budget, Work& work) {
  const auto zones = capacity.find(step.spec.model);
  if (zones == capacity.end() || zones->second.empty()) return;
  std::uint32_t slots_in_all = 0;
  for (const ZoneCapacity& zone : zones->second) slots_in_all += zone.slots;
  if (slots_in_all == 0) return;
  // A little more than fits, so that no engine waits for the next order.
  const std::size_t window = slots_in_all + slots_in_all / 4 + 1;
  std::size_t under_way = running(step.spec.model);
  const WeightVersion expected = expectedVersion(key, step);
  const WeightVersion oldest_useful = expected > step.bound ? expected - step.bound : 0;
  for (std::uint32_t index = 0; index < step.slots.size(); ++index) {
    Slot& slot = step.slots[index];
    if (slot.state != Slot::State::kWanted || now < slot.not_before) continue;
    if (budget == 0 || under_way >= window) return;
    // Zones take turns by their share of the slots.
    std::uint32_t turn = static_cast<std::uint32_t>(zone_turn_++ * 7919 % slots_in_all);
    const ZoneCapacity* chosen = nullptr;
    for (const ZoneCapacity& zone : zones->second) {
      chosen = &zone;
      if (turn < zone.slots) break;
      turn -= zone.slots;
    }
    slot.state = Slot::State::kRunning;
    slot.last_heard = now;
    slot.oldest = 0;
    slot.maker = DaemonId();
    --budget;
    ++under_way;
    work.orders.push_back({chosen->zone,
                           {{key, index, slot.attempt},
                            step.spec.model,
                            oldest_useful,
                            step.spec.max_tokens,
                            step.spec.promptOf(index)}});
  }
}

std::optional<CommitOrder> StepCoordinator::commitIfWhole(const StepKey& key, Step& step) const {
  if (!step.pulled || step.slots.empty()) return std::nullopt;
  CommitOrder commit{key, step.pulled_at, step.bound, {}};
  for (const Slot& slot : step.slots) {
    if (slot.state != Slot::State::kDone) return std::nullopt;
    if (!freshEnough(slot.oldest, step.pulled_at, step.bound)) return std::nullopt;
    commit.samples.push_back(slot.sample);
  }
  return commit;
}

std::size_t StepCoordinator::running(const ModelName& model) const {
  std::size_t count = 0;
  for (const auto& [key, step] : steps_) {
    if (step.spec.model != model) continue;
    for (const Slot& slot : step.slots) count += slot.state == Slot::State::kRunning;
  }
  return count;
}

}  // namespace linenpier::rollout
