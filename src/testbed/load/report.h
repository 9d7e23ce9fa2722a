#pragma once

/// @file
/// The result of a run, as JSON and as a plain table.

#include <string>
#include <vector>

#include "testbed/load/caller.h"
#include "testbed/load/trainer.h"

namespace linenpier::load {

/// What the engines themselves recorded.
struct PlatformRecord {
  bool read = false;
  std::map<std::string, int> once_starts;
  std::uint64_t starts_while_leaving = 0;
  std::uint64_t table_writes = 0;
  std::map<std::string, std::uint64_t> faults_struck;
};
PlatformRecord readRecord(const Address& platform);

struct RunResult {
  std::vector<CallerResult> callers;
  std::vector<TrainerResult> trainers;
  PlatformRecord record;
};

/// Violations of the promises that a run can show.
struct Verdict {
  std::uint64_t lost = 0;
  std::uint64_t doubled = 0;  ///< Not-repeatable requests that engines began twice, samples twice.
  std::uint64_t mixed = 0;
  std::uint64_t stale = 0;
  std::uint64_t ran_but_refused = 0;  ///< Refused as not run, but an engine began it.
  std::uint64_t missing = 0;
  std::uint64_t sum() const { return lost + doubled + mixed + stale + ran_but_refused + missing; }
};
Verdict judge(const RunResult& result);

std::string toJson(const RunResult& result);
std::string toTable(const RunResult& result);

}  // namespace linenpier::load
