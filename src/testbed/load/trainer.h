#pragma once

/// @file
/// A stand-in trainer: submits steps ahead, pulls, trains, publishes weights, and checks what it
/// got.

#include <map>
#include <string>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "daemon/rollout/step_types.h"
#include "testbed/load/scenario.h"
#include "testbed/load/targets.h"

namespace linenpier::load {

/// What a trainer saw.
struct TrainerResult {
  std::string name;
  std::uint64_t steps = 0;
  std::uint64_t samples = 0;
  double idle_s = 0;  ///< Time waiting for a batch.
  double train_s = 0;
  std::vector<double> waits_ms;  ///< Wait of each step.
  double staleness_sum = 0;      ///< Over samples: trainer's version less the oldest piece's.
  std::uint64_t staleness_max = 0;
  std::uint64_t over_bound = 0;         ///< Samples delivered over the staleness bound.
  std::uint64_t mixed = 0;              ///< Samples whose text is not the one expected.
  std::uint64_t doubled = 0;            ///< Samples delivered more than once.
  std::uint64_t missing = 0;            ///< Samples that a batch lacked.
  std::uint64_t differing_repeats = 0;  ///< Repeated pulls that were not identical.
  std::uint64_t mixed_versions = 0;     ///< Samples produced by several versions.
  std::uint64_t failed_calls = 0;

  double idleShare() const;
  double meanStaleness() const;
};

class Trainer {
 public:
  Trainer(TrainerPlan plan, Targets& targets, Address platform, std::uint64_t seed);
  /// Trains until the time is up; a step begun is finished.
  TrainerResult run(Duration duration);

 private:
  void publish();
  bool submit(std::uint64_t step);
  /// @return the batch's JSON; empty if the time limit passed.
  std::string pull(std::uint64_t step, Instant limit);
  void acknowledge(std::uint64_t step);
  void check(std::uint64_t step, const std::string& batch);
  std::string post(const std::string& path, const std::string& body, int& status);
  std::vector<rollout::PromptGroup> makeGroups(std::uint64_t step);

  TrainerPlan plan_;
  Targets& targets_;
  Address platform_;
  Random random_;
  WeightVersion version_ = 1;
  std::map<std::uint64_t, std::vector<rollout::PromptGroup>> submitted_;
  TrainerResult result_;
};

}  // namespace linenpier::load
