#include "daemon/rollout/sample_worker.h"

#include <algorithm>

namespace linenpier::rollout {

SampleWorker::Acceptance SampleWorker::onOrder(Instant now, const wire::SampleOrder& order) {
  if (entries_.contains(order.sample)) return Acceptance::kAlreadyKnown;
  if (running() >= options_.capacity) return Acceptance::kFull;
  Entry& entry = entries_[order.sample];
  entry.state.sample = order.sample;
  entry.next_result = now;
  return Acceptance::kStart;
}

void SampleWorker::onStreamProgress(const SampleKey& sample, std::uint32_t tokens,
                                    WeightVersion oldest) {
  const auto found = entries_.find(sample);
  if (found == entries_.end()) return;
  found->second.state.tokens = tokens;
  found->second.state.oldest = oldest;
}

void SampleWorker::onFinished(Instant now, const wire::SampleResult& result) {
  const auto found = entries_.find(result.sample);
  if (found == entries_.end()) return;
  found->second.result = result;
  found->second.finished_at = now;
  found->second.next_result = now;
}

void SampleWorker::onAck(const SampleKey& sample) {
  const auto found = entries_.find(sample);
  if (found != entries_.end() && found->second.result) entries_.erase(found);
}

std::vector<SampleKey> SampleWorker::onCancel(const wire::SampleCancel& cancel) {
  std::vector<SampleKey> running;
  for (const SampleKey& sample : cancel.samples) {
    const auto found = entries_.find(sample);
    if (found == entries_.end()) continue;
    if (!found->second.result) running.push_back(sample);
    entries_.erase(found);
  }
  return running;
}

std::vector<SampleWorker::Report> SampleWorker::onTick(Instant now) {
  std::erase_if(entries_, [&](const auto& entry) {
    return entry.second.result && now - entry.second.finished_at > options_.result_lifetime;
  });
  std::vector<Report> reports;
  const bool progress_due = now >= next_progress_;
  if (progress_due) next_progress_ = now + options_.progress_period;
  std::map<std::pair<TenantId, TrainerId>, wire::SampleProgress> progress;
  for (auto& [key, entry] : entries_) {
    const auto trainer = std::pair(key.step.tenant, key.step.trainer);
    if (!entry.result) {
      if (progress_due) progress[trainer].running.push_back(entry.state);
    } else if (now >= entry.next_result) {
      entry.next_result = now + options_.result_period;
      reports.push_back({trainer.first, trainer.second, *entry.result});
    }
  }
  for (auto& [trainer, message] : progress) {
    reports.push_back({trainer.first, trainer.second, std::move(message)});
  }
  return reports;
}

std::size_t SampleWorker::running() const {
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(), [](const auto& entry) { return !entry.second.result; }));
}

}  // namespace linenpier::rollout
