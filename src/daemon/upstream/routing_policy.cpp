#include "daemon/upstream/routing_policy.h"

#include <algorithm>
#include <functional>
#include <map>

#include "common/hash.h"
#include "common/random.h"

namespace linenpier::upstream {

namespace {

using Candidates = std::vector<const EngineState*>;

double reportedLoad(const EngineState& engine) {
  return engine.report.running + engine.report.waiting;
}

/// @return load as a share of the engine's batch.
double relative(double load, const EngineState& engine) {
  return load / std::max<std::uint32_t>(engine.report.slots, 1);
}

RoutingChoice chooseLowest(std::vector<ScoredEngine> scores) {
  const auto best = std::min_element(
      scores.begin(), scores.end(),
      [](const ScoredEngine& a, const ScoredEngine& b) { return a.score < b.score; });
  return {best->engine, std::move(scores)};
}

/// Uniformly random engine.
class RandomPolicy : public RoutingPolicy {
 public:
  explicit RandomPolicy(std::uint64_t seed) : random_(seed) {}
  std::optional<RoutingChoice> choose(const Candidates& candidates,
                                      const RoutingRequest& /*request*/) override {
    if (candidates.empty()) return std::nullopt;
    const EngineState& engine = *candidates[random_.below(candidates.size())];
    return RoutingChoice{engine.seed.id, {{engine.seed.id, 0, "drawn at random"}}};
  }

 private:
  Random random_;
};

/// Engines in turn.
class RoundRobinPolicy : public RoutingPolicy {
 public:
  std::optional<RoutingChoice> choose(const Candidates& candidates,
                                      const RoutingRequest& /*request*/) override {
    if (candidates.empty()) return std::nullopt;
    const EngineState& engine = *candidates[next_++ % candidates.size()];
    return RoutingChoice{engine.seed.id, {{engine.seed.id, 0, "next in turn"}}};
  }

 private:
  std::size_t next_ = 0;  ///< Turn counter over whatever candidates there are.
};

/// Lowest load as reported, with its lag.
class LeastReportedPolicy : public RoutingPolicy {
 public:
  std::optional<RoutingChoice> choose(const Candidates& candidates,
                                      const RoutingRequest& /*request*/) override {
    if (candidates.empty()) return std::nullopt;
    std::vector<ScoredEngine> scores;
    for (const EngineState* engine : candidates) {
      scores.push_back(
          {engine->seed.id, relative(reportedLoad(*engine), *engine), "reported load"});
    }
    return chooseLowest(std::move(scores));
  }
};

/// The lower reported load of two random engines.
class TwoChoicesPolicy : public RoutingPolicy {
 public:
  explicit TwoChoicesPolicy(std::uint64_t seed) : random_(seed) {}
  std::optional<RoutingChoice> choose(const Candidates& candidates,
                                      const RoutingRequest& /*request*/) override {
    if (candidates.empty()) return std::nullopt;
    std::vector<ScoredEngine> scores;
    for (int draw = 0; draw < 2; ++draw) {
      const EngineState& engine = *candidates[random_.below(candidates.size())];
      scores.push_back(
          {engine.seed.id, relative(reportedLoad(engine), engine), "one of two drawn"});
    }
    return chooseLowest(std::move(scores));
  }

 private:
  Random random_;
};

/// Reported load corrected by this daemon's own streams since the report, less a bonus for the
/// engine that rendezvous hashing assigns to the prompt's prefix, so that prefixes are found cached
/// without anybody keeping a list of them.
class CorrectedLoadPolicy : public RoutingPolicy {
 public:
  explicit CorrectedLoadPolicy(std::uint64_t seed) : random_(seed) {}

  std::optional<RoutingChoice> choose(const Candidates& candidates,
                                      const RoutingRequest& request) override {
    if (candidates.empty()) return std::nullopt;
    const EngineState* preferred = preferredFor(candidates, request);
    std::vector<ScoredEngine> scores;
    for (const EngineState* engine : candidates) {
      double score = relative(engine->expectedLoad(), *engine);
      std::string reason = "corrected load";
      if (engine == preferred) {
        score -= kAffinityBonus;
        reason += ", prefix affinity";
      }
      // A small random part keeps daemons with equal views from choosing alike.
      score += random_.unit() * kSpread;
      scores.push_back({engine->seed.id, score, reason});
    }
    return chooseLowest(std::move(scores));
  }

 private:
  static constexpr double kAffinityBonus =
      0.15;  ///< Share of a batch that a cached prefix is worth.
  static constexpr double kSpread = 0.05;

  static const EngineState* preferredFor(const Candidates& candidates,
                                         const RoutingRequest& request) {
    if (request.prefix_hash == 0) return nullptr;
    return *std::max_element(candidates.begin(), candidates.end(),
                             [&](const EngineState* a, const EngineState* b) {
                               return hash64(a->seed.id.str(), request.prefix_hash) <
                                      hash64(b->seed.id.str(), request.prefix_hash);
                             });
  }

  Random random_;
};

using PolicyFactory = std::function<RoutingPolicyPtr(std::uint64_t)>;

const std::map<std::string, PolicyFactory>& policyFactories() {
  static const std::map<std::string, PolicyFactory> kFactories = {
      {"corrected-load", [](auto seed) { return std::make_unique<CorrectedLoadPolicy>(seed); }},
      {"random", [](auto seed) { return std::make_unique<RandomPolicy>(seed); }},
      {"round-robin", [](auto) { return std::make_unique<RoundRobinPolicy>(); }},
      {"least-reported", [](auto) { return std::make_unique<LeastReportedPolicy>(); }},
      {"two-choices", [](auto seed) { return std::make_unique<TwoChoicesPolicy>(seed); }},
  };
  return kFactories;
}

}  // namespace

RoutingPolicyPtr makeRoutingPolicy(const std::string& name, std::uint64_t seed) {
  const auto found = policyFactories().find(name);
  return found == policyFactories().end() ? nullptr : found->second(seed);
}

const std::vector<std::string>& routingPolicyNames() {
  static const std::vector<std::string> kNames = [] {
    std::vector<std::string> names;
    for (const auto& [name, factory] : policyFactories()) names.push_back(name);
    return names;
  }();
  return kNames;
}

}  // namespace linenpier::upstream
