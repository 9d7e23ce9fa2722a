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
constexpr std::size_t kMaxPerSecond = 18;  ///< 9.3 x 1.5 + 5, whole requests.
constexpr std::size_t kSenders = 5;
/// Without a bound a daemon would send for ever: a test that fails must end.
constexpr std::size_t kMaxTried = 200;

std::map<ServiceName, routing::Service> services() {
  routing::Service service;
  service.name = kService;
  service.cold_per_second = 9.3;
  return {{kService, service}};
}

void configure(cold_engine_limiter& limiter, cold_senders senders, Instant started = kStart) {
  limiter.onStart(started);
  limiter.setLimitOptions({1.5, 5});
  limiter.setServices(services());
  limiter.setSenders(senders);
}

engine_record record(const std::string& id, Duration cold_remaining) {
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
    configure(registry.coldLimiter(), senders, started);
  }

  void receiveRecord(Instant now, Duration cold_remaining) {
    registry.onRecord(now, record("e", cold_remaining));
  }
  void receiveRecords(Instant now, int engines, Duration cold_remaining) {
    for (int i = 0; i < engines; ++i) {
      registry.onRecord(now, record("e" + std::to_string(i), cold_remaining));
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
class request_log {
 public:
  void add(Instant at, std::size_t requests) { times_.insert(times_.end(), requests, at); }
  std::size_t total() const { return times_.size(); }
  /** @return the most within any second. */
  std::size_t maxPerSecond() const {
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
void sendFor(std::vector<greedy_daemon*> daemons, Instant from, Duration length,
             request_log& engine) {
  for (Instant now = from; now < from + length; now += 20ms) {
    for (greedy_daemon* each : daemons) engine.add(now, each->sendAll(now).size());
  }
}

}  // namespace

Test(cold_engine_limiter, without_rules_nothing_is_bounded) {
  cold_engine_limiter limiter;
  limiter.setServices(services());
  limiter.onRecord(kLater, kEngine, kColdFor);
  cr_assert(limiter.isCold(kLater, kEngine));
  cr_assert_eq(limiter.allowance(kLater, kService, kEngine).limit, ColdLimit::kUnbounded);
  for (int i = 0; i < 100; ++i) limiter.onSent(kLater, kEngine);
  cr_assert(limiter.hasRoom(kLater, kService, kEngine));
}

Test(cold_engine_limiter, a_service_without_a_bound_is_not_bounded) {
  cold_engine_limiter limiter;
  configure(limiter, {kSenders, true});
  cr_assert_not(limiter.isBounded(ServiceName("other")));
  cr_assert(limiter.hasRoom(kLater, ServiceName("other"), kEngine));
}

Test(cold_engine_limiter, coldness_counts_from_when_its_entry_was_heard_and_comes_again) {
  cold_engine_limiter limiter;
  configure(limiter, {kSenders, true});
  limiter.onRecord(kLater, kEngine, 0s);
  cr_assert_not(limiter.isCold(kLater, kEngine));
  const Instant turned = kLater + 20s;
  limiter.onRecord(turned, kEngine, kColdFor);
  cr_assert(limiter.isCold(turned + kColdFor - 1ms, kEngine));
  cr_assert_not(limiter.isCold(turned + kColdFor, kEngine));
  const Instant again = turned + 30s;
  limiter.onRecord(again, kEngine, kColdFor);
  cr_assert(limiter.isCold(again + 1s, kEngine), "the same figure is news once it ran out");
}

Test(cold_engine_limiter, an_entry_that_is_told_once_more_does_not_prolong_the_coldness) {
  cold_engine_limiter limiter;
  configure(limiter, {kSenders, true});
  limiter.onRecord(kLater, kEngine, kColdFor);
  limiter.onRecord(kLater + 2s, kEngine, kColdFor);
  cr_assert_not(limiter.isCold(kLater + kColdFor, kEngine));
}

Test(cold_engine_limiter, an_entry_that_lags_does_not_end_the_coldness) {
  cold_engine_limiter limiter;
  configure(limiter, {kSenders, true});
  limiter.onRecord(kLater, kEngine, kColdFor);
  limiter.onRecord(kLater + 100ms, kEngine, 0s);
  cr_assert(limiter.isCold(kLater + 1s, kEngine));
}

Test(cold_engine_limiter, the_bound_is_shared_out_among_the_senders) {
  cold_engine_limiter limiter;
  configure(limiter, {kSenders, true});
  limiter.onRecord(kLater, kEngine, kColdFor);
  const auto allowed = limiter.allowance(kLater, kService, kEngine);
  cr_assert_eq(allowed.limit, ColdLimit::kShared);
  cr_assert_eq(allowed.requests, 3U);
  for (int i = 0; i < 3; ++i) limiter.onSent(kLater, kEngine);
  cr_assert_not(limiter.hasRoom(kLater + 1s, kService, kEngine));
  cr_assert(limiter.hasRoom(kLater + 1300ms, kService, kEngine), "the window slides");
}

Test(cold_engine_limiter, who_owns_no_work_sends_nothing_to_a_cold_engine) {
  cold_engine_limiter limiter;
  configure(limiter, {kSenders, false});
  limiter.onRecord(kLater, kEngine, kColdFor);
  cr_assert_eq(limiter.allowance(kLater, kService, kEngine).limit, ColdLimit::kNotSender);
  cr_assert_not(limiter.hasRoom(kLater, kService, kEngine));
}

Test(cold_engine_limiter, an_engine_that_was_warm_rests_for_a_window_once_it_is_heard_to_be_cold) {
  cold_engine_limiter limiter;
  configure(limiter, {kSenders, true});
  limiter.onRecord(kLater, kEngine, 0s);
  limiter.onRecord(kLater + 5s, kEngine, kColdFor);
  cr_assert_eq(limiter.allowance(kLater + 6s, kService, kEngine).limit, ColdLimit::kRecentlyCold);
  cr_assert_eq(limiter.allowance(kLater + 6300ms, kService, kEngine).limit, ColdLimit::kShared);
}

Test(cold_engine_limiter, engines_get_less_while_their_feed_is_silent) {
  cold_engine_limiter limiter;
  configure(limiter, {kSenders, true});
  limiter.onRecord(kLater, kEngine, 0s);
  cr_assert_eq(limiter.allowance(kLater + 1s, kService, kEngine).requests, kMaxPerSecond / 2);
  const auto silent = limiter.allowance(kLater + 4s, kService, kEngine);
  cr_assert_eq(silent.limit, ColdLimit::kStale);
  cr_assert_eq(silent.requests, kMaxPerSecond / 3);
  limiter.onFeedAnswered(kLater + 3900ms);
  cr_assert_eq(limiter.allowance(kLater + 4s, kService, kEngine).limit, ColdLimit::kWarm,
               "no news of an engine is good news while the feed works");
}

Test(cold_engine_limiter, changes_and_refusals_are_told_once) {
  cold_engine_limiter limiter;
  configure(limiter, {kSenders, false});
  limiter.onRecord(kLater, kEngine, kColdFor);
  limiter.onRefused(kLater, kService, kEngine);
  limiter.onRefused(kLater, kService, kEngine);
  const auto changes = limiter.takeChanges(kLater + 1s);
  cr_assert_eq(changes.size(), 1U);
  cr_assert(changes[0].cold);
  cr_assert(changes[0].record_age == 1s);
  const auto refusals = limiter.takeRefusals();
  cr_assert_eq(refusals.size(), 1U);
  cr_assert_eq(refusals[0].refused, 2U);
  cr_assert_eq(refusals[0].allowance.limit, ColdLimit::kNotSender);
  cr_assert(limiter.takeChanges(kLater + 1s).empty());
  cr_assert(limiter.takeRefusals().empty());
  cr_assert_eq(limiter.takeChanges(kLater + kColdFor).size(), 1U, "it is warm again");
  cr_assert_eq(limiter.refused(), 2U);
}

Test(cold_engine_limiter, engines_that_are_gone_are_forgotten) {
  cold_engine_limiter limiter;
  configure(limiter, {kSenders, true});
  limiter.onRecord(kLater, kEngine, kColdFor);
  limiter.sweep(kLater + 61s, [](const EngineId&) { return false; });
  limiter.onRecord(kLater + 62s, kEngine, kColdFor);
  cr_assert_eq(limiter.allowance(kLater + 62s, kService, kEngine).limit, ColdLimit::kShared,
               "as one never heard of");
}

Test(cold_engine_limiter, engines_that_are_listed_are_remembered_however_quiet_they_are) {
  cold_engine_limiter limiter;
  configure(limiter, {kSenders, true});
  limiter.onRecord(kLater, kEngine, 0s);
  limiter.sweep(kLater + 61s, [](const EngineId&) { return true; });
  limiter.onRecord(kLater + 62s, kEngine, kColdFor);
  cr_assert_eq(limiter.allowance(kLater + 62s, kService, kEngine).limit, ColdLimit::kRecentlyCold,
               "others may have sent to it");
}

Test(cold_engines, all_senders_together_keep_to_the_bound_and_use_most_of_it) {
  std::vector<greedy_daemon> daemons;
  for (std::size_t i = 0; i < kSenders; ++i) daemons.push_back(greedy_daemon({kSenders, true}));
  std::vector<greedy_daemon*> all;
  for (greedy_daemon& each : daemons) {
    each.receiveRecord(kLater, kColdFor);
    all.push_back(&each);
  }
  request_log engine;
  sendFor(all, kLater, kColdFor, engine);
  cr_assert_leq(engine.maxPerSecond(), kMaxPerSecond, "%zu in a second", engine.maxPerSecond());
  cr_assert_geq(engine.maxPerSecond(), kMaxPerSecond * 3 / 4, "%zu in a second",
                engine.maxPerSecond());
}

Test(cold_engines, two_daemons_that_hear_at_different_times_of_its_turning_cold) {
  greedy_daemon early({kSenders, true});
  greedy_daemon late({kSenders, true});
  early.receiveRecord(kLater, 0s);
  late.receiveRecord(kLater, 0s);
  request_log engine;
  // It is cold from the first moment on, and warm for those who do not know.
  sendFor({&early, &late}, kLater, 500ms, engine);
  early.receiveRecord(kLater + 500ms, kColdFor);
  sendFor({&early, &late}, kLater + 500ms, 1400ms, engine);
  late.receiveRecord(kLater + 1900ms, kColdFor);
  sendFor({&early, &late}, kLater + 1900ms, 1200ms, engine);
  cr_assert_leq(engine.maxPerSecond(), kMaxPerSecond, "%zu in a second", engine.maxPerSecond());
}

Test(cold_engines, an_engine_that_turns_cold_again_is_bounded_again) {
  greedy_daemon one({kSenders, true});
  greedy_daemon other({kSenders, true});
  request_log engine;
  for (int round = 0; round < 3; ++round) {
    const Instant turned = kLater + round * 5s;
    one.receiveRecord(turned, kColdFor);
    other.receiveRecord(turned, kColdFor);
    request_log now_cold;
    sendFor({&one, &other}, turned, kColdFor, now_cold);
    cr_assert_leq(now_cold.maxPerSecond(), 2 * (kMaxPerSecond / (kSenders + 1)), "%zu",
                  now_cold.maxPerSecond());
    cr_assert_gt(now_cold.total(), 0U);
    sendFor({&one, &other}, turned + kColdFor, 2s, engine);
  }
  cr_assert_leq(engine.maxPerSecond(), kMaxPerSecond, "%zu in a second", engine.maxPerSecond());
}

Test(cold_engines, daemons_that_disagree_on_who_sends_keep_to_the_bound) {
  greedy_daemon alone({1, true});  // It reached the store before the others did.
  greedy_daemon few({3, true});
  greedy_daemon all({kSenders, true});
  greedy_daemon isolated({kSenders, true});
  std::vector<greedy_daemon*> daemons = {&few, &all, &isolated};
  for (greedy_daemon* each : daemons) each->receiveRecord(kLater, kColdFor);
  request_log engine;
  sendFor(daemons, kLater, kColdFor, engine);
  cr_assert_leq(engine.maxPerSecond(), kMaxPerSecond, "%zu in a second", engine.maxPerSecond());
  alone.receiveRecord(kLater + 10s, kColdFor);
  all.receiveRecord(kLater + 10s, kColdFor);
  request_log second;
  sendFor({&alone, &all}, kLater + 10s, kColdFor, second);
  cr_assert_leq(second.maxPerSecond(), kMaxPerSecond, "%zu in a second", second.maxPerSecond());
}

Test(cold_engines, a_daemon_that_restarts_sends_nothing_for_a_window) {
  greedy_daemon before({kSenders, true});
  greedy_daemon other({kSenders, true});
  before.receiveRecord(kLater, kColdFor);
  other.receiveRecord(kLater, kColdFor);
  request_log engine;
  sendFor({&before, &other}, kLater, 200ms, engine);
  const Instant restarted = kLater + 300ms;
  greedy_daemon after({kSenders, true}, restarted);
  after.receiveRecord(restarted, kColdFor - 300ms);
  cr_assert_eq(after.registry.coldLimiter().allowance(restarted, kService, kEngine).limit,
               ColdLimit::kRestarted);
  cr_assert(after.sendAll(restarted).empty());
  sendFor({&after, &other}, restarted, kColdFor - 300ms, engine);
  cr_assert_leq(engine.maxPerSecond(), 2 * (kMaxPerSecond / (kSenders + 1)), "%zu in a second",
                engine.maxPerSecond());
  cr_assert_gt(after.registry.coldLimiter().sent(restarted + 2600ms, kEngine), 0U,
               "it sends again");
}

Test(cold_engines, a_whole_fleet_that_is_cold_is_served_up_to_the_bound) {
  constexpr int kEngines = 12;
  greedy_daemon daemon({kSenders, true});
  daemon.receiveRecords(kLater, kEngines, kColdFor);
  cr_assert_eq(daemon.sendAll(kLater).size(), kEngines * (kMaxPerSecond / (kSenders + 1)));
  cr_assert_eq(daemon.registry.lastAdmissionFailures().of(engines::AdmissionFailure::kCold),
               static_cast<std::size_t>(kEngines));
  cr_assert_eq(daemon.sendAll(kLater + 1300ms).size(), kEngines * (kMaxPerSecond / (kSenders + 1)));
}

Test(cold_engines, cold_engines_are_left_alone_while_others_have_room) {
  greedy_daemon daemon({kSenders, true});
  engine_record warm = record("w", 0s);
  warm.slots = 4;
  engine_record cold = record("c", kColdFor);
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
  daemon.receiveRecord(kLater, 0s);
  const std::size_t sent = daemon.sendAll(kLater).size();
  cr_assert_eq(sent, kMaxPerSecond / 2);
  daemon.registry.onRemoved(kLater + 100ms, kEngine);
  daemon.receiveRecord(kLater + 200ms, kColdFor);
  cr_assert(daemon.sendAll(kLater + 200ms).empty(), "others may have sent as much");
  cr_assert_eq(daemon.sendAll(kLater + 1500ms).size(), kMaxPerSecond / (kSenders + 1));
}
