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
constexpr Instant kLater = kStart + 10s;  ///< Well after the start of the daemon.
constexpr Duration kColdFor = 3s;
constexpr std::size_t kMaxPerSecond = 18;  ///< 9.3 x 1.5 + 5, rounded down.
constexpr std::size_t kSenders = 5;
/// Ends a failing test in which nothing limits the requests.
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

/** A daemon that sends as many requests as it may. */
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
  /** @return the engines that were sent a request, once per request. */
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
      registry.onAttemptEnded(now, engine->record.id, engines::HealthOutcome::kSuccess);
    }
    return sent;
  }

  engine_registry registry;
};

/** Requests received by one engine. */
class request_log {
 public:
  void add(Instant at, std::size_t requests) { times_.insert(times_.end(), requests, at); }
  std::size_t total() const { return times_.size(); }
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

/** Lets the daemons send to the engine for a time. */
void sendFor(std::vector<greedy_daemon*> daemons, Instant from, Duration length,
             request_log& engine) {
  for (Instant now = from; now < from + length; now += 20ms) {
    for (greedy_daemon* each : daemons) engine.add(now, each->sendAll(now).size());
  }
}

}  // namespace

Test(cold_engine_limiter, allows_everything_without_options) {
  cold_engine_limiter limiter;
  limiter.setServices(services());
  limiter.onRecord(kLater, kEngine, kColdFor);
  cr_assert(limiter.isCold(kLater, kEngine));
  cr_assert_eq(limiter.allowance(kLater, kService, kEngine).limit, ColdLimit::kUnbounded);
  for (int i = 0; i < 100; ++i) limiter.onSent(kLater, kEngine);
  cr_assert(limiter.hasRoom(kLater, kService, kEngine));
}

Test(cold_engine_limiter, does_not_limit_other_services) {
  cold_engine_limiter limiter;
  configure(limiter, {kSenders, true});
  cr_assert_not(limiter.isBounded(ServiceName("other")));
  cr_assert(limiter.hasRoom(kLater, ServiceName("other"), kEngine));
}

Test(cold_engine_limiter, engine_is_cold_from_receipt_of_its_record_and_may_turn_cold_again) {
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
  cr_assert(limiter.isCold(again + 1s, kEngine),
            "a record like the first one makes it cold again after the cold time");
}

Test(cold_engine_limiter, repeated_record_does_not_extend_the_cold_time) {
  cold_engine_limiter limiter;
  configure(limiter, {kSenders, true});
  limiter.onRecord(kLater, kEngine, kColdFor);
  limiter.onRecord(kLater + 2s, kEngine, kColdFor);
  cr_assert_not(limiter.isCold(kLater + kColdFor, kEngine));
}

Test(cold_engine_limiter, outdated_record_does_not_end_the_cold_time) {
  cold_engine_limiter limiter;
  configure(limiter, {kSenders, true});
  limiter.onRecord(kLater, kEngine, kColdFor);
  limiter.onRecord(kLater + 100ms, kEngine, 0s);
  cr_assert(limiter.isCold(kLater + 1s, kEngine));
}

Test(cold_engine_limiter, divides_the_limit_among_the_senders) {
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

Test(cold_engine_limiter, daemon_without_work_sends_nothing_to_a_cold_engine) {
  cold_engine_limiter limiter;
  configure(limiter, {kSenders, false});
  limiter.onRecord(kLater, kEngine, kColdFor);
  cr_assert_eq(limiter.allowance(kLater, kService, kEngine).limit, ColdLimit::kNotSender);
  cr_assert_not(limiter.hasRoom(kLater, kService, kEngine));
}

Test(cold_engine_limiter, sends_nothing_for_a_window_after_a_warm_engine_turned_cold) {
  cold_engine_limiter limiter;
  configure(limiter, {kSenders, true});
  limiter.onRecord(kLater, kEngine, 0s);
  limiter.onRecord(kLater + 5s, kEngine, kColdFor);
  cr_assert_eq(limiter.allowance(kLater + 6s, kService, kEngine).limit, ColdLimit::kJustTurnedCold);
  cr_assert_eq(limiter.allowance(kLater + 6300ms, kService, kEngine).limit, ColdLimit::kShared);
}

Test(cold_engine_limiter, reduces_the_share_while_records_are_stale) {
  cold_engine_limiter limiter;
  configure(limiter, {kSenders, true});
  limiter.onRecord(kLater, kEngine, 0s);
  cr_assert_eq(limiter.allowance(kLater + 1s, kService, kEngine).requests, kMaxPerSecond / 2);
  const auto stale = limiter.allowance(kLater + 4s, kService, kEngine);
  cr_assert_eq(stale.limit, ColdLimit::kStale);
  cr_assert_eq(stale.requests, kMaxPerSecond / 3);
  limiter.onWatchAnswered(kLater + 3900ms);
  cr_assert_eq(limiter.allowance(kLater + 4s, kService, kEngine).limit, ColdLimit::kWarm,
               "unchanged records are current while the watch answers");
}

Test(cold_engine_limiter, reports_changes_and_refusals_once) {
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

Test(cold_engine_limiter, sweep_removes_unlisted_engines) {
  cold_engine_limiter limiter;
  configure(limiter, {kSenders, true});
  limiter.onRecord(kLater, kEngine, kColdFor);
  limiter.sweep(kLater + 61s, [](const EngineId&) { return false; });
  limiter.onRecord(kLater + 62s, kEngine, kColdFor);
  cr_assert_eq(limiter.allowance(kLater + 62s, kService, kEngine).limit, ColdLimit::kShared,
               "treated as a new engine");
}

Test(cold_engine_limiter, sweep_keeps_listed_engines) {
  cold_engine_limiter limiter;
  configure(limiter, {kSenders, true});
  limiter.onRecord(kLater, kEngine, 0s);
  limiter.sweep(kLater + 61s, [](const EngineId&) { return true; });
  limiter.onRecord(kLater + 62s, kEngine, kColdFor);
  cr_assert_eq(limiter.allowance(kLater + 62s, kService, kEngine).limit, ColdLimit::kJustTurnedCold,
               "others may have sent to it");
}

Test(cold_engines, all_senders_together_respect_and_nearly_use_the_limit) {
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

Test(cold_engines, two_daemons_respect_the_limit_when_one_learns_late) {
  greedy_daemon early({kSenders, true});
  greedy_daemon late({kSenders, true});
  early.receiveRecord(kLater, 0s);
  late.receiveRecord(kLater, 0s);
  request_log engine;
  // The engine is already cold, but neither daemon knows yet.
  sendFor({&early, &late}, kLater, 500ms, engine);
  early.receiveRecord(kLater + 500ms, kColdFor);
  sendFor({&early, &late}, kLater + 500ms, 1400ms, engine);
  late.receiveRecord(kLater + 1900ms, kColdFor);
  sendFor({&early, &late}, kLater + 1900ms, 1200ms, engine);
  cr_assert_leq(engine.maxPerSecond(), kMaxPerSecond, "%zu in a second", engine.maxPerSecond());
}

Test(cold_engines, limits_an_engine_that_turns_cold_again) {
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

Test(cold_engines, daemons_with_different_sender_counts_respect_the_limit) {
  // Counts itself as the only sender, as it reached the store before the others.
  greedy_daemon alone({1, true});
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

Test(cold_engines, restarted_daemon_sends_nothing_for_a_window) {
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

Test(cold_engines, uses_every_cold_engine_up_to_the_limit) {
  constexpr int kEngines = 12;
  greedy_daemon daemon({kSenders, true});
  daemon.receiveRecords(kLater, kEngines, kColdFor);
  cr_assert_eq(daemon.sendAll(kLater).size(), kEngines * (kMaxPerSecond / (kSenders + 1)));
  cr_assert_eq(daemon.registry.lastAdmissionFailures().of(engines::AdmissionFailure::kCold),
               static_cast<std::size_t>(kEngines));
  cr_assert_eq(daemon.sendAll(kLater + 1300ms).size(), kEngines * (kMaxPerSecond / (kSenders + 1)));
}

Test(cold_engines, prefers_warm_engines_with_free_slots) {
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

Test(cold_engines, remembers_requests_to_an_engine_whose_record_was_removed) {
  greedy_daemon daemon({kSenders, true});
  daemon.receiveRecord(kLater, 0s);
  const std::size_t sent = daemon.sendAll(kLater).size();
  cr_assert_eq(sent, kMaxPerSecond / 2);
  daemon.registry.onRemoved(kLater + 100ms, kEngine);
  daemon.receiveRecord(kLater + 200ms, kColdFor);
  cr_assert(daemon.sendAll(kLater + 200ms).empty(), "other daemons may have sent as much");
  cr_assert_eq(daemon.sendAll(kLater + 1500ms).size(), kMaxPerSecond / (kSenders + 1));
}
