#pragma once

/// @file
/// What the load tool does: callers with open-loop arrivals, and trainers.

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "common/address.h"
#include "common/error.h"
#include "common/ids.h"

namespace linenpier::load {

/// One stream of lookups.
struct CallerPlan {
  std::string name;
  std::string key;  ///< Bearer key.
  ModelName model;
  double rate = 5;            ///< Arrivals per second, at random (Poisson).
  std::uint32_t tokens = 20;  ///< Length of an answer.
  std::uint32_t deadline_ms = 3000;
  double once_share = 0;  ///< Share of not-repeatable requests; the others are streamed.
};

struct TrainerPlan {
  TrainerId trainer;
  std::string key;
  ModelName model;
  std::uint32_t staleness_bound = 2;  ///< What the checker holds deliveries against.
  std::uint32_t ahead = 1;            ///< Steps submitted before they are pulled.
  std::uint32_t groups = 8;
  std::uint32_t samples_per_group = 4;
  double train_ms = 1500;
  double mean_tokens = 40;   ///< Of the usual samples.
  double tail_share = 0.05;  ///< Share of long samples.
  std::uint32_t tail_tokens = 300;
};

struct Scenario {
  std::vector<Address> targets;  ///< Daemons, used in turn.
  Address platform;              ///< Where weights are published and the record is read.
  double duration_s = 20;
  std::uint64_t seed = 1;
  std::vector<CallerPlan> callers;
  std::vector<TrainerPlan> trainers;
};

/// @return the scenario, or every finding with file and key.
tl::expected<Scenario, Findings> readScenario(const std::string& file);

}  // namespace linenpier::load
