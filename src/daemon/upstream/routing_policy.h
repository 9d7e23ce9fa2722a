#pragma once

/// @file
/// Chooses one engine among the usable ones. The baselines stay selectable for comparison.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon/upstream/engine_directory.h"

namespace linenpier::upstream {

/// What the choice depends on besides the engines.
struct RoutingRequest {
  std::uint64_t prefix_hash = 0;  ///< Hash of the prompt's first part; 0 if it has none.
};

/// One candidate with its score, for explanation. Lower scores are better.
struct ScoredEngine {
  EngineId engine;
  double score = 0;
  std::string reason;
};

struct RoutingChoice {
  EngineId engine;
  std::vector<ScoredEngine> scores;  ///< Every candidate, in the order considered.
};

/// Interface of a routing policy. Called from one thread.
class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;
  /// @param candidates engines that may serve the request; each has room.
  /// @return the choice; nothing if there is no candidate.
  virtual std::optional<RoutingChoice> choose(const std::vector<const EngineState*>& candidates,
                                              const RoutingRequest& request) = 0;
};

using RoutingPolicyPtr = std::unique_ptr<RoutingPolicy>;

/// @param name "corrected-load", "random", "round-robin", "least-reported" or "two-choices".
/// @return nothing if the name is unknown.
RoutingPolicyPtr makeRoutingPolicy(const std::string& name, std::uint64_t seed);
/// @return the names that `makeRoutingPolicy` takes.
const std::vector<std::string>& routingPolicyNames();

}  // namespace linenpier::upstream
