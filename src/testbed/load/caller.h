#pragma once

/// @file
/// Lookups with open-loop arrivals: latency counts from the intended start.

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "testbed/load/scenario.h"
#include "testbed/load/targets.h"

namespace linenpier::load {

/// How one lookup ended, as its caller saw it.
enum class LookupEnd {
  kWhole,    ///< The whole answer, and only it.
  kMixed,    ///< An answer that is not the one expected.
  kNotRun,   ///< Refused as not run.
  kUnknown,  ///< Told that the outcome is unknown.
  kLost,     ///< No final answer at all.
};

/// What a stream of lookups saw. Filled while it runs.
struct CallerResult {
  std::string name;
  std::uint64_t sent = 0;
  std::uint64_t whole = 0;
  std::uint64_t late = 0;  ///< Whole, but after the deadline.
  std::uint64_t mixed = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t lost = 0;
  std::uint64_t reconnects = 0;                   ///< Tries at another daemon.
  std::vector<double> latencies_ms;               ///< Of whole answers.
  std::map<std::string, std::uint64_t> refusals;  ///< By code.
  std::map<std::string, LookupEnd> once;          ///< Not-repeatable requests by id.
};

/// Runs one plan to its end, on threads of its own.
class Caller {
 public:
  Caller(CallerPlan plan, Targets& targets, std::uint64_t seed);
  /// Blocks until the last answer.
  CallerResult run(Duration duration);

 private:
  struct Lookup {
    std::string prompt;
    std::string once_id;  ///< Empty if repeatable.
    Instant intended{};
  };
  struct Reply {
    LookupEnd end = LookupEnd::kLost;
    std::string code;
    bool try_elsewhere = false;  ///< The daemon was gone or stopping: ask another one.
    Duration retry_after{};
  };
  void perform(const Lookup& lookup);
  Reply ask(const Address& target, const Lookup& lookup, Duration left);
  void record(const Lookup& lookup, const Reply& reply);

  CallerPlan plan_;
  Targets& targets_;
  Random random_;
  std::mutex mutex_;  ///< Guards `result_`.
  CallerResult result_;
};

/// @return the value below which `share` of the values lie; 0 if there are none.
double percentile(std::vector<double> values, double share);

}  // namespace linenpier::load
