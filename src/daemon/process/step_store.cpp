#include "daemon/process/step_store.h"

#include <algorithm>
#include <thread>

#include "daemon/config/documents.h"

namespace linenpier::daemon {

using rollout::StepRow;
using table::WriteOutcome;

namespace {

constexpr int kMaxTries = 6;
constexpr auto kPause = std::chrono::milliseconds(100);

void pauseBetweenTries() {
  std::this_thread::sleep_for(kPause);
}

}  // namespace

SubmitOutcome StepStore::submit(const rollout::StepSpec& spec, const AttemptId& attempt) const {
  const std::string text = toJson(spec);
  const std::string hash = config::sha256Hex(text);
  const std::string object = rollout::specObjectKey(spec.key, attempt);
  if (!objects_->put(object, text)) return SubmitOutcome::kNotAccepted;
  StepRow row;
  row.spec_object = object;
  row.spec_hash = hash;
  row.attempt = attempt;
  const std::string key = rollout::stepRowKey(spec.key);
  const auto written = table::writeSettled(*table_, {{{key, 0}}, {{key, toJson(row)}}}, attempt,
                                           kMaxTries, pauseBetweenTries);
  switch (written.outcome) {
    case WriteOutcome::kCommitted:
      return SubmitOutcome::kAccepted;
    case WriteOutcome::kNotWritten:
      return SubmitOutcome::kNotAccepted;
    case WriteOutcome::kUnknown:
      return SubmitOutcome::kUnknown;
    case WriteOutcome::kConflict:
      break;
  }
  objects_->remove(object);
  if (written.conflicts.empty()) return SubmitOutcome::kUnknown;
  const auto known = rollout::parseStepRow(key, written.conflicts.front().value);
  return known && known->spec_hash == hash ? SubmitOutcome::kAccepted : SubmitOutcome::kDifferent;
}

CallResult<std::optional<StepRow>> StepStore::readRow(const rollout::StepKey& step) const {
  const std::string key = rollout::stepRowKey(step);
  const auto row = table_->read(key);
  if (!row) return tl::make_unexpected(row.error());
  if (row->revision == 0) return std::optional<StepRow>();
  const auto parsed = rollout::parseStepRow(key, row->value);
  if (!parsed) {
    return tl::make_unexpected(CallError{CallFailure::kBadAnswer, describe(parsed.error())});
  }
  return std::optional<StepRow>(*parsed);
}

CallResult<std::optional<StoredStep>> StepStore::read(const rollout::StepKey& step) const {
  const auto row = readRow(step);
  if (!row) return tl::make_unexpected(row.error());
  if (!*row) return std::optional<StoredStep>();
  StoredStep stored;
  stored.row = **row;
  if (stored.row.state != StepRow::State::kOpen) return std::optional<StoredStep>(stored);
  const auto text = objects_->get(stored.row.spec_object);
  if (!text) return tl::make_unexpected(text.error());
  const auto spec = rollout::parseStepSpec(stored.row.spec_object, *text);
  if (!spec) {
    return tl::make_unexpected(CallError{CallFailure::kBadAnswer, describe(spec.error())});
  }
  stored.spec = *spec;
  const auto keys = objects_->list(rollout::sampleObjectPrefix(step));
  if (!keys) return tl::make_unexpected(keys.error());
  for (const std::string& key : *keys) {
    const auto sample_text = objects_->get(key);
    if (!sample_text) continue;  // It will be made again.
    if (const auto sample = rollout::parseSample(key, *sample_text)) {
      stored.samples.push_back(*sample);
    }
  }
  return std::optional<StoredStep>(stored);
}

CallResult<void> StepStore::putSample(const rollout::Sample& sample,
                                      const AttemptId& attempt) const {
  return objects_->put(rollout::sampleObjectKey(sample.key, attempt), toJson(sample));
}

CommitOutcome StepStore::commit(const rollout::CommitOrder& order, const AttemptId& attempt) const {
  const std::string step_key = rollout::stepRowKey(order.step);
  const std::string trainer_key = rollout::trainerRowKey(order.step);
  const auto step_row = table_->read(step_key);
  const auto trainer_row = table_->read(trainer_key);
  if (!step_row || !trainer_row || step_row->revision == 0) return CommitOutcome::kNotCommitted;
  const auto open = rollout::parseStepRow(step_key, step_row->value);
  if (!open || open->state != StepRow::State::kOpen) return CommitOutcome::kNotCommitted;
  if (trainer_row->revision != 0) {
    const auto trainer = rollout::parseTrainerRow(trainer_key, trainer_row->value);
    if (trainer && trainer->version > order.trainer_version) return CommitOutcome::kTooLate;
  }

  StepRow committed = *open;
  committed.state = StepRow::State::kCommitted;
  committed.batch_object = rollout::batchObjectKey(order.step, attempt);
  committed.trainer_version = order.trainer_version;
  committed.attempt = attempt;
  committed.oldest_version = order.trainer_version;
  for (const rollout::Sample& sample : order.samples) {
    const WeightVersion oldest = sample.oldestVersion();
    if (!rollout::freshEnough(oldest, order.trainer_version, order.staleness_bound)) {
      return CommitOutcome::kNotCommitted;
    }
    committed.oldest_version = std::min(committed.oldest_version, oldest);
  }
  const std::string batch = rollout::batchToJson(order.step, order.samples);
  if (!objects_->put(committed.batch_object, batch)) return CommitOutcome::kNotCommitted;

  const rollout::TrainerRow trainer{order.trainer_version, attempt};
  const table::Transaction transaction{
      {{step_key, step_row->revision}, {trainer_key, trainer_row->revision}},
      {{step_key, toJson(committed)}, {trainer_key, toJson(trainer)}}};
  const auto written =
      table::writeSettled(*table_, transaction, attempt, kMaxTries, pauseBetweenTries);
  if (written.outcome == WriteOutcome::kCommitted) return CommitOutcome::kCommitted;
  if (written.outcome != WriteOutcome::kUnknown) objects_->remove(committed.batch_object);
  return CommitOutcome::kNotCommitted;
}

CallResult<std::string> StepStore::readBatch(const StepRow& row) const {
  return objects_->get(row.batch_object);
}

bool StepStore::acknowledge(const rollout::StepKey& step, const AttemptId& attempt) const {
  const std::string key = rollout::stepRowKey(step);
  const auto row = table_->read(key);
  if (!row || row->revision == 0) return false;
  auto parsed = rollout::parseStepRow(key, row->value);
  if (!parsed || parsed->state == StepRow::State::kOpen) return false;
  if (parsed->state == StepRow::State::kAcknowledged) return true;
  parsed->state = StepRow::State::kAcknowledged;
  parsed->attempt = attempt;
  const auto written =
      table::writeSettled(*table_, {{{key, row->revision}}, {{key, toJson(*parsed)}}}, attempt,
                          kMaxTries, pauseBetweenTries);
  return written.outcome == WriteOutcome::kCommitted;
}

void StepStore::removeObjects(const rollout::StepKey& step, const StepRow& row) const {
  if (const auto keys = objects_->list(rollout::sampleObjectPrefix(step))) {
    for (const std::string& key : *keys) objects_->remove(key);
  }
  objects_->remove(row.spec_object);
  objects_->remove(row.batch_object);
}

}  // namespace linenpier::daemon
