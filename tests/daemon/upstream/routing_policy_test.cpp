#include "daemon/upstream/routing_policy.h"

#include <criterion/criterion.h>

#include <map>

using namespace linenpier;
using upstream::EngineState;

namespace {

EngineState engineWith(const std::string& id, std::uint32_t running, std::uint32_t started_since) {
  EngineState engine;
  engine.seed.id = EngineId(id);
  engine.report.running = running;
  engine.report.slots = 8;
  engine.started_since = started_since;
  engine.reported = true;
  return engine;
}

}  // namespace

Test(routing_policy, every_name_makes_a_policy_and_no_other_does) {
  const std::map<std::string, std::string> reasons = {{"corrected-load", "corrected load"},
                                                      {"least-reported", "reported load"},
                                                      {"random", "drawn at random"},
                                                      {"round-robin", "next in turn"},
                                                      {"two-choices", "one of two drawn"}};
  const EngineState engine = engineWith("only", 0, 0);
  cr_assert_eq(upstream::routingPolicyNames().size(), reasons.size());
  for (const std::string& name : upstream::routingPolicyNames()) {
    const auto choice = upstream::makeRoutingPolicy(name, 1)->choose({&engine}, {});
    cr_assert_str_eq(choice->scores.front().reason.c_str(), reasons.at(name).c_str());
  }
  cr_assert_null(upstream::makeRoutingPolicy("best", 1).get());
}

Test(routing_policy, no_candidate_no_choice) {
  for (const std::string& name : upstream::routingPolicyNames()) {
    cr_assert_not(upstream::makeRoutingPolicy(name, 1)->choose({}, {}).has_value());
  }
}

Test(routing_policy, corrected_load_sees_what_a_lagging_report_does_not) {
  const EngineState looks_idle = engineWith("looks-idle", 0, 6);
  const EngineState is_idle = engineWith("is-idle", 2, 0);
  const auto corrected = upstream::makeRoutingPolicy("corrected-load", 1);
  const auto reported = upstream::makeRoutingPolicy("least-reported", 1);
  cr_assert(corrected->choose({&looks_idle, &is_idle}, {})->engine == EngineId("is-idle"));
  cr_assert(reported->choose({&looks_idle, &is_idle}, {})->engine == EngineId("looks-idle"));
}

Test(routing_policy, equal_prefixes_meet_on_one_engine_until_it_is_busier) {
  EngineState a = engineWith("a", 0, 0);
  EngineState b = engineWith("b", 0, 0);
  const auto policy = upstream::makeRoutingPolicy("corrected-load", 1);
  const EngineId home = policy->choose({&a, &b}, {42})->engine;
  for (int i = 0; i < 20; ++i) cr_assert(policy->choose({&a, &b}, {42})->engine == home);
  (home == a.seed.id ? a : b).started_since = 7;
  cr_assert(policy->choose({&a, &b}, {42})->engine != home);
}
