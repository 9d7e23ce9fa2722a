#pragma once

/// @file
/// Steps of a trainer: what was asked for and what was made.

#include <cstdint>
#include <string>
#include <vector>

#include "common/error.h"
#include "daemon/wire/messages.h"

namespace linenpier::rollout {

using wire::SampleKey;
using wire::StepKey;
using wire::VersionPiece;

/// Bounds of a step, refused when exceeded.
constexpr std::size_t kMaxSamplesPerStep = 8192;
constexpr std::size_t kMaxPromptBytes = 24 * 1024;

/// Prompts of which several samples each are wanted.
struct PromptGroup {
  std::string prompt;
  std::uint32_t samples = 1;
};

/// What a trainer asked for.
struct StepSpec {
  StepKey key;
  ModelName model;
  std::uint32_t max_tokens = 0;
  std::vector<PromptGroup> groups;

  std::size_t sampleCount() const;
  /// @return the prompt of the sample at `index`, counting through the groups.
  const std::string& promptOf(std::size_t index) const;
};

/// One finished sample.
struct Sample {
  SampleKey key;
  std::string text;
  std::vector<VersionPiece> pieces;  ///< Versions that produced it, in order.

  WeightVersion oldestVersion() const;
};

/// @return whether a sample of `version` may go to a trainer at `trainer_version`.
bool freshEnough(WeightVersion version, WeightVersion trainer_version, std::uint32_t bound);

/// JSON forms, as kept in the object store and sent to trainers.
std::string toJson(const StepSpec& spec);
tl::expected<StepSpec, Findings> parseStepSpec(const std::string& place, const std::string& text);
std::string toJson(const Sample& sample);
tl::expected<Sample, Findings> parseSample(const std::string& place, const std::string& text);
std::string batchToJson(const StepKey& step, const std::vector<Sample>& samples);

/// Keys of rows and objects.
std::string trainerKey(const TenantId& tenant, const TrainerId& trainer);
std::string stepRowKey(const StepKey& step);
std::string trainerRowKey(const StepKey& step);
std::string specObjectKey(const StepKey& step, const AttemptId& attempt);
std::string sampleObjectPrefix(const StepKey& step);
std::string sampleObjectKey(const SampleKey& sample, const AttemptId& attempt);
std::string batchObjectKey(const StepKey& step, const AttemptId& attempt);

/// A step's row: open once submitted, committed once a batch was chosen, acknowledged once the
/// trainer has it. It never goes back, and its batch never changes.
struct StepRow {
  enum class State { kOpen, kCommitted, kAcknowledged };
  State state = State::kOpen;
  std::string spec_object;
  std::string spec_hash;              ///< To tell a repeated submission from a different one.
  std::string batch_object;           ///< Set when committed.
  WeightVersion trainer_version = 0;  ///< Version that the trainer named when committed.
  WeightVersion oldest_version = 0;   ///< Oldest version among the batch's samples.
  AttemptId attempt;                  ///< Of the latest write.
};
std::string toJson(const StepRow& row);
tl::expected<StepRow, Findings> parseStepRow(const std::string& place, const std::string& text);

/// A trainer's row: the highest version that it named in a pull.
struct TrainerRow {
  WeightVersion version = 0;
  AttemptId attempt;
};
std::string toJson(const TrainerRow& row);
tl::expected<TrainerRow, Findings> parseTrainerRow(const std::string& place,
                                                   const std::string& text);

}  // namespace linenpier::rollout
