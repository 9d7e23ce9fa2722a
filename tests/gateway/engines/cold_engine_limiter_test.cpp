#include "gateway/engines/cold_engine_limiter.h"

#include <algorithm>
#include <vector>

#include "gateway/engines/engine_registry.h"
#include "support/engine_lists.h"

// clang-format off
#include <criterion/criterion.h>
// clang-format on

using namespace linenpier;
using namespace std::chrono_literals;
using engines::cold_engine_limiter;
using engines::cold_senders;
using engines::ColdLimit;
using engines::engine_record;
using engines::engine_registry;

namespace {

const ServiceName kService("s");
const EngineId kEngine("e");
constexpr Instant kStart{std::chrono::seconds(1000)};
constexpr Instant kLater = kStart + 10s;  ///< Earlier lives of daemons are of no matter then.
constexpr Duration kColdFor = 3s;
constexpr std::size_t kMost = 18;  ///< 9.3 x 1.5 + 5, whole requests.
constexpr std::size_t kSenders = 5;
/// Without a bound a daemon would send for ever: a test that fails must end.
constexpr std::size_t kMaxTried = 200;

std::map<ServiceName, routing::Service> services() {
  routing::Service service;
  service.name = kService;
  service.cold_per_second = 9.3;
  return {{kService, service}};
}

void bind(cold_engine_limiter& budget, cold_senders senders, Instant started = kStart) {
  budget.onStart(started);
  budget.setLimitOptions({1.5, 5});
  budget.setServices(services());
  budget.setSenders(senders);
}

engine_record entry(const std::string& id, Duration cold_remaining) {
  engine_record made;
  made.id = EngineId(id);
  made.service = kService;
  made.address = {0x7f000001, static_cast<std::uint16_t>(9000 + id.back())};
  made.zone = ZoneName("z");
  made.slots = 1000;
  made.cold_remaining = cold_remaining;
  return made;
}

/** A daemon that sends whatever it may. */
struct greedy_daemon {
  greedy_daemon(cold_senders senders, Instant started = kStart) : registry(ZoneName("z"), {}, 1) {
    bind(registry.coldLimiter(), senders, started);
  }

  void hear(Instant now, Duration cold_remaining) {
    registry.onRecord(now, entry("e", cold_remaining));
  }
  void hearAll(Instant now, int engines, Duration cold_remaining) {
    for (int i = 0; i < engines; ++i) {
      registry.onRecord(now, entry("e" + std::to_string(i), cold_remaining));
    }
  }
  /** @return the engines that one look sends to. */
  std::vector<EngineId> sendAll(Instant now) {
    std::vector<EngineId> sent;
    engines::engine_request wanted;
    wanted.service = kService;
    wanted.last_resort = true;
    for (std::size_t i = 0; i < kMaxTried; ++i) {
      const auto* engine = registry.pick(now, wanted);
      if (engine == nullptr) break;
      sent.push_back(engine->record.id);
      registry.onAttemptStarted(now, engine->record.id);
      registry.onAttemptEnded(now, engine->record.id, engines::AttemptOutcome::kSuccess);
    }
    return sent;
  }

  engine_registry registry;
};

/** What one engine got, and when. */
class received {
 public:
  void add(Instant at, std::size_t requests) { times_.insert(times_.end(), requests, at); }
  std::size_t all() const { return times_.size(); }
  /** @return the most within any second. */
  std::size_t most() const {
    std::size_t most = 0;
    for (const Instant from : times_) {
      most = std::max(most, static_cast<std::size_t>(std::count_if(
                                times_.begin(), times_.end(),
                                [from](Instant at) { return at >= from && at <= from + 1s; })));
    }
    return most;
  }

 private:
  std::vector<Instant> times_;
};

/** Lets the daemons send what they may to the one engine, from `from` on. */
void play(std::vector<greedy_daemon*> daemons, Instant from, Duration length, received& engine) {
  for (Instant now = from; now < from + length; now += 20ms) {
    for (greedy_daemon* each : daemons) engine.add(now, each->sendAll(now).size());
  }
}

}  // namespace

Test(cold_engine_limiter, without_rules_nothing_is_bounded) {
  cold_engine_limiter budget;
  budget.setServices(services());
  budget.onRecord(kLater, kEngine, kColdFor);
  cr_assert(budget.isCold(kLater, kEngine));
  cr_assert_eq(budget.allowance(kLater, kService, kEngine).limit, ColdLimit::kUnbounded);
  for (int i = 0; i < 100; ++i) budget.onSent(kLater, kEngine);
  cr_assert(budget.hasRoom(kLater, kService, kEngine));
}

Test(cold_engine_limiter, a_service_without_a_bound_is_not_bounded) {
  cold_engine_limiter budget;
  bind(budget, {kSenders, true});
  cr_assert_not(budget.isBounded(ServiceName("other")));
  cr_assert(budget.hasRoom(kLater, ServiceName("other"), kEngine));
}

Test(cold_engine_limiter, coldness_counts_from_when_its_entry_was_heard_and_comes_again) {
  cold_engine_limiter budget;
  bind(budget, {kSenders, true});
  budget.onRecord(kLater, kEngine, 0s);
  cr_assert_not(budget.isCold(kLater, kEngine));
  const Instant turned = kLater + 20s;
  budget.onRecord(turned, kEngine, kColdFor);
  cr_assert(budget.isCold(turned + kColdFor - 1ms, kEngine));
  cr_assert_not(budget.isCold(turned + kColdFor, kEngine));
  const Instant again = turned + 30s;
  budget.onRecord(again, kEngine, kColdFor);
  cr_assert(budget.isCold(again + 1s, kEngine), "the same figure is news once it ran out");
}

Test(cold_engine_limiter, an_entry_that_is_told_once_more_does_not_prolong_the_coldness) {
  cold_engine_limiter budget;
  bind(budget, {kSenders, true});
  budget.onRecord(kLater, kEngine, kColdFor);
  budget.onRecord(kLater + 2s, kEngine, kColdFor);
  cr_assert_not(budget.isCold(kLater + kColdFor, kEngine));
}

Test(cold_engine_limiter, an_entry_that_lags_does_not_end_the_coldness) {
  cold_engine_limiter budget;
  bind(budget, {kSenders, true});
  budget.onRecord(kLater, kEngine, kColdFor);
  budget.onRecord(kLater + 100ms, kEngine, 0s);
  cr_assert(budget.isCold(kLater + 1s, kEngine));
}

Test(cold_engine_limiter, the_bound_is_shared_out_among_the_senders) {
  cold_engine_limiter budget;
  bind(budget, {kSenders, true});
  budget.onRecord(kLater, kEngine, kColdFor);
  const auto allowed = budget.allowance(kLater, kService, kEngine);
  cr_assert_eq(allowed.limit, ColdLimit::kShared);
  cr_assert_eq(allowed.requests, 3U);
  for (int i = 0; i < 3; ++i) budget.onSent(kLater, kEngine);
  cr_assert_not(budget.hasRoom(kLater + 1s, kService, kEngine));
  cr_assert(budget.hasRoom(kLater + 1300ms, kService, kEngine), "the window slides");
}

Test(cold_engine_limiter, who_owns_no_work_sends_nothing_to_a_cold_engine) {
  cold_engine_limiter budget;
  bind(budget, {kSenders, false});
  budget.onRecord(kLater, kEngine, kColdFor);
  cr_assert_eq(budget.allowance(kLater, kService, kEngine).limit, ColdLimit::kNoSender);
  cr_assert_not(budget.hasRoom(kLater, kService, kEngine));
}

Test(cold_engine_limiter, an_engine_that_was_warm_rests_for_a_window_once_it_is_heard_to_be_cold) {
  cold_engine_limiter budget;
  bind(budget, {kSenders, true});
  budget.onRecord(kLater, kEngine, 0s);
  budget.onRecord(kLater + 5s, kEngine, kColdFor);
  cr_assert_eq(budget.allowance(kLater + 6s, kService, kEngine).limit, ColdLimit::kJustTurned);
  cr_assert_eq(budget.allowance(kLater + 6300ms, kService, kEngine).limit, ColdLimit::kShared);
}

Test(cold_engine_limiter, engines_get_less_while_their_feed_is_silent) {
  cold_engine_limiter budget;
  bind(budget, {kSenders, true});
  budget.onRecord(kLater, kEngine, 0s);
  cr_assert_eq(budget.allowance(kLater + 1s, kService, kEngine).requests, kMost / 2);
  const auto silent = budget.allowance(kLater + 4s, kService, kEngine);
  cr_assert_eq(silent.limit, ColdLimit::kStale);
  cr_assert_eq(silent.requests, kMost / 3);
  budget.onFeedAnswered(kLater + 3900ms);
  cr_assert_eq(budget.allowance(kLater + 4s, kService, kEngine).limit, ColdLimit::kWarm,
               "no news of an engine is good news while the feed works");
}

Test(cold_engine_limiter, changes_and_refusals_are_told_once) {
  cold_engine_limiter budget;
  bind(budget, {kSenders, false});
  budget.onRecord(kLater, kEngine, kColdFor);
  budget.onRefused(kLater, kService, kEngine);
  budget.onRefused(kLater, kService, kEngine);
  const auto changes = budget.takeChanges(kLater + 1s);
  cr_assert_eq(changes.size(), 1U);
  cr_assert(changes[0].cold);
  cr_assert(changes[0].record_age == 1s);
  const auto refusals = budget.takeRefusals();
  cr_assert_eq(refusals.size(), 1U);
  cr_assert_eq(refusals[0].refused, 2U);
  cr_assert_eq(refusals[0].allowance.limit, ColdLimit::kNoSender);
  cr_assert(budget.takeChanges(kLater + 1s).empty());
  cr_assert(budget.takeRefusals().empty());
  cr_assert_eq(budget.takeChanges(kLater + kColdFor).size(), 1U, "it is warm again");
  cr_assert_eq(budget.refused(), 2U);
}

Test(cold_engine_limiter, engines_that_are_gone_are_forgotten) {
  cold_engine_limiter budget;
  bind(budget, {kSenders, true});
  budget.onRecord(kLater, kEngine, kColdFor);
  budget.sweep(kLater + 61s, [](const EngineId&) { return false; });
  budget.onRecord(kLater + 62s, kEngine, kColdFor);
  cr_assert_eq(budget.allowance(kLater + 62s, kService, kEngine).limit, ColdLimit::kShared,
               "as one never heard of");
}

Test(cold_engine_limiter, engines_that_are_listed_are_remembered_however_quiet_they_are) {
  cold_engine_limiter budget;
  bind(budget, {kSenders, true});
  budget.onRecord(kLater, kEngine, 0s);
  budget.sweep(kLater + 61s, [](const EngineId&) { return true; });
  budget.onRecord(kLater + 62s, kEngine, kColdFor);
  cr_assert_eq(budget.allowance(kLater + 62s, kService, kEngine).limit, ColdLimit::kJustTurned,
               "others may have sent to it");
}

Test(cold_engines, all_senders_together_keep_to_the_bound_and_use_most_of_it) {
  std::vector<greedy_daemon> daemons;
  for (std::size_t i = 0; i < kSenders; ++i) daemons.push_back(greedy_daemon({kSenders, true}));
  std::vector<greedy_daemon*> all;
  for (greedy_daemon& each : daemons) {
    each.hear(kLater, kColdFor);
    all.push_back(&each);
  }
  received engine;
  play(all, kLater, kColdFor, engine);
  cr_assert_leq(engine.most(), kMost, "%zu in a second", engine.most());
  cr_assert_geq(engine.most(), kMost * 3 / 4, "%zu in a second", engine.most());
}

Test(cold_engines, two_daemons_that_hear_at_different_times_of_its_turning_cold) {
  greedy_daemon early({kSenders, true});
  greedy_daemon late({kSenders, true});
  early.hear(kLater, 0s);
  late.hear(kLater, 0s);
  received engine;
  // It is cold from the first moment on, and warm for those who do not know.
  play({&early, &late}, kLater, 500ms, engine);
  early.hear(kLater + 500ms, kColdFor);
  play({&early, &late}, kLater + 500ms, 1400ms, engine);
  late.hear(kLater + 1900ms, kColdFor);
  play({&early, &late}, kLater + 1900ms, 1200ms, engine);
  cr_assert_leq(engine.most(), kMost, "%zu in a second", engine.most());
}

Test(cold_engines, an_engine_that_turns_cold_again_is_bounded_again) {
  greedy_daemon one({kSenders, true});
  greedy_daemon other({kSenders, true});
  received engine;
  for (int round = 0; round < 3; ++round) {
    const Instant turned = kLater + round * 5s;
    one.hear(turned, kColdFor);
    other.hear(turned, kColdFor);
    received now_cold;
    play({&one, &other}, turned, kColdFor, now_cold);
    cr_assert_leq(now_cold.most(), 2 * (kMost / (kSenders + 1)), "%zu", now_cold.most());
    cr_assert_gt(now_cold.all(), 0U);
    play({&one, &other}, turned + kColdFor, 2s, engine);
  }
  cr_assert_leq(engine.most(), kMost, "%zu in a second", engine.most());
}

Test(cold_engines, daemons_that_disagree_on_who_sends_keep_to_the_bound) {
  greedy_daemon alone({1, true});  // It reached the store before the others did.
  greedy_daemon few({3, true});
  greedy_daemon all({kSenders, true});
  greedy_daemon out_of_touch({kSenders, true});
  std::vector<greedy_daemon*> daemons = {&few, &all, &out_of_touch};
  for (greedy_daemon* each : daemons) each->hear(kLater, kColdFor);
  received engine;
  play(daemons, kLater, kColdFor, engine);
  cr_assert_leq(engine.most(), kMost, "%zu in a second", engine.most());
  alone.hear(kLater + 10s, kColdFor);
  all.hear(kLater + 10s, kColdFor);
  received second;
  play({&alone, &all}, kLater + 10s, kColdFor, second);
  cr_assert_leq(second.most(), kMost, "%zu in a second", second.most());
}

Test(cold_engines, a_daemon_that_restarts_sends_nothing_for_a_window) {
  greedy_daemon before({kSenders, true});
  greedy_daemon other({kSenders, true});
  before.hear(kLater, kColdFor);
  other.hear(kLater, kColdFor);
  received engine;
  play({&before, &other}, kLater, 200ms, engine);
  const Instant restarted = kLater + 300ms;
  greedy_daemon after({kSenders, true}, restarted);
  after.hear(restarted, kColdFor - 300ms);
  cr_assert_eq(after.registry.coldLimiter().allowance(restarted, kService, kEngine).limit,
               ColdLimit::kRestart);
  cr_assert(after.sendAll(restarted).empty());
  play({&after, &other}, restarted, kColdFor - 300ms, engine);
  cr_assert_leq(engine.most(), 2 * (kMost / (kSenders + 1)), "%zu in a second", engine.most());
  cr_assert_gt(after.registry.coldLimiter().sent(restarted + 2600ms, kEngine), 0U,
               "it sends again");
}

Test(cold_engines, a_whole_fleet_that_is_cold_is_served_up_to_the_bound) {
  constexpr int kEngines = 12;
  greedy_daemon daemon({kSenders, true});
  daemon.hearAll(kLater, kEngines, kColdFor);
  cr_assert_eq(daemon.sendAll(kLater).size(), kEngines * (kMost / (kSenders + 1)));
  cr_assert_eq(daemon.registry.lastAdmissionFailures().of(engines::AdmissionFailure::kCold),
               static_cast<std::size_t>(kEngines));
  cr_assert_eq(daemon.sendAll(kLater + 1300ms).size(), kEngines * (kMost / (kSenders + 1)));
}

Test(cold_engines, cold_engines_are_left_alone_while_others_have_room) {
  greedy_daemon daemon({kSenders, true});
  engine_record warm = entry("w", 0s);
  warm.slots = 4;
  engine_record cold = entry("c", kColdFor);
  cold.slots = 4;
  test::listEngines(daemon.registry, kLater, {warm, cold});
  engines::engine_request wanted;
  wanted.service = kService;
  wanted.batching = true;
  wanted.max_per_slot = 1;
  for (int i = 0; i < 4; ++i) {
    const auto* picked = daemon.registry.pick(kLater, wanted);
    cr_assert_eq(picked->record.id.str(), "w");
    daemon.registry.onAttemptStarted(kLater, picked->record.id);
  }
  cr_assert_eq(daemon.registry.pick(kLater, wanted)->record.id.str(), "c");
}

Test(cold_engines, an_engine_that_left_the_list_and_returns_cold_keeps_its_count) {
  greedy_daemon daemon({kSenders, true});
  daemon.hear(kLater, 0s);
  const std::size_t sent = daemon.sendAll(kLater).size();
  cr_assert_eq(sent, kMost / 2);
  daemon.registry.onRemoved(kLater + 100ms, kEngine);
  daemon.hear(kLater + 200ms, kColdFor);
  cr_assert(daemon.sendAll(kLater + 200ms).empty(), "others may have sent as much");
  cr_assert_eq(daemon.sendAll(kLater + 1500ms).size(), kMost / (kSenders + 1));
}
