/// @file
/// End-to-end tests of a planned stop while the store is unavailable or slow.

#include <map>

#include "support/gateway_fixture.h"

using namespace linenpier;
using test::GatewayFixture;

namespace {

/// From the signal until connections are closed, and some time for the closing itself.
constexpr Duration kConnectionsClosed = std::chrono::milliseconds(3600);
constexpr int kJobs = 3;
/// From the return of the store until the next owner could be at work; shorter than a lease lasts.
constexpr Duration kHandOverTime = std::chrono::milliseconds(1000);
constexpr Duration kEventGap = std::chrono::milliseconds(20);

/// A route whose requests may last longer than a stop.
constexpr char kSlowRoute[] =
    R"(,{"name":"slow","host":"h.example","pathPrefix":"/slow/","kind":"non_idempotent",
         "timeoutMs":20000,"targetLatencyMs":150,"service":"desk","maxAttempts":2})";

test::FixtureOptions longJobs() {
  test::FixtureOptions options = test::twoGateways(450);
  // With a window, the gateways also count usage and hold a lock for its reports.
  options.usage = usage::usage_options{};
  options.usage->window = std::chrono::seconds(2);
  return options;
}

/// Submits jobs, which get the same owner. @return the owner's index.
Task<std::size_t> submitJobs(GatewayFixture& fixture) {
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setEventGap(kEventGap);
  for (int i = 0; i < kJobs; ++i) {
    http::Request request = fixture.jobRequest("job-" + std::to_string(i), 2);
    const auto accepted = co_await fixture.call(0, std::move(request));
    cr_assert_eq(accepted.response.result_int(), 202U);
  }
  const std::string row = fixture.store().get("linenpier", "job/job-0").value_or("");
  co_return row.find("\"owner\":\"d0#") != std::string::npos ? 0 : 1;
}

/// @return the rows of jobs, leader locks and leases that name the gateway, or nothing.
std::string rowsNaming(GatewayFixture& fixture, std::size_t gateway) {
  const std::string lease = "d" + std::to_string(gateway) + "#";
  std::string found;
  for (const std::string& key : fixture.store().keys("linenpier")) {
    const std::string value = fixture.store().get("linenpier", key).value_or("");
    if (value.find(lease) != std::string::npos) found += key + " ";
  }
  for (const std::string& key : fixture.store().keys("leases")) {
    if (key.starts_with(lease)) found += key + " ";
  }
  return found;
}

/// @return the largest number of an event after which an item was resumed; 0: none was.
int lastResumedEvent(GatewayFixture& fixture) {
  int last = 0;
  for (std::size_t i = 0; i < 2; ++i) {
    for (const auto& arrival : fixture.model(i).arrivals()) {
      const auto at = arrival.fields.find("last-event-id");
      if (at != arrival.fields.end()) last = std::max(last, std::stoi(at->second));
    }
  }
  return last;
}

/// Asserts that the store soon has no row that names the gateway.
Task<void> assertHandedOver(GatewayFixture& fixture, std::size_t gateway, Duration limit) {
  co_await fixture.waitFor([&fixture, gateway] { return rowsNaming(fixture, gateway).empty(); },
                           limit);
  const std::string rows = rowsNaming(fixture, gateway);
  cr_assert(rows.empty(), "not handed over: %s", rows.c_str());
}

/// Calls the request address of a gateway, which may have stopped listening.
Task<http::ExchangeStatus> callAddress(GatewayFixture& fixture, http::ConnectionPool& pool,
                                       Address address) {
  const http::CallOutcome outcome = co_await http::call(
      pool, address, fixture.lookupRequest("after-stop"), steadyNow() + std::chrono::seconds(2));
  co_return outcome.status;
}

using outcomes_by_id = std::map<std::string, http::CallOutcome>;

/// Sends a request that may not be repeated and whose engine takes seconds.
/// @param pool kept connections; null: the request is sent on a connection of its own.
Task<void> callSlowRoute(GatewayFixture& fixture, http::ConnectionPool* pool, Address address,
                         std::string id, outcomes_by_id& outcomes) {
  http::ConnectionPool own(fixture.loop(), {});
  http::Request request = fixture.lookupRequest(id, "/slow/1");
  request.set("Deadline-Ms", "15000");
  outcomes[id] = co_await http::call(pool != nullptr ? *pool : own, address, std::move(request),
                                     steadyNow() + std::chrono::seconds(10));
}

}  // namespace

// Guards against a stopping gateway that keeps its connections open while it hands its jobs over to
// a store that does not respond, and then cuts off the requests that it still accepts.
GATEWAY_TEST(shutdown, connections_are_closed_in_time_while_the_store_is_silent,
             test::twoGateways(100)) {
  fixture.model(0).setEventGap(std::chrono::milliseconds(200));
  fixture.model(1).setEventGap(std::chrono::milliseconds(200));
  for (int i = 0; i < kJobs; ++i) {
    const auto accepted =
        co_await fixture.call(0, fixture.jobRequest("job-" + std::to_string(i), 2));
    cr_assert_eq(accepted.response.result_int(), 202U);
  }
  const Address address = fixture.gateway(0).requestAddress();
  http::ConnectionPool kept(fixture.loop(), {});
  cr_assert(co_await callAddress(fixture, kept, address) == http::ExchangeStatus::kOk);
  fixture.store().faults().silent = true;
  fixture.gateway(0).stop();
  co_await sleepFor(fixture.loop(), kConnectionsClosed);
  http::ConnectionPool fresh(fixture.loop(), {});
  const http::ExchangeStatus on_kept = co_await callAddress(fixture, kept, address);
  const http::ExchangeStatus on_fresh = co_await callAddress(fixture, fresh, address);
  cr_assert(on_kept == http::ExchangeStatus::kNotConnected, "%s", http::toText(on_kept));
  cr_assert(on_fresh == http::ExchangeStatus::kNotConnected, "%s", http::toText(on_fresh));
}

// Guards against jobs, locks and a lease that stay with a gateway that has stopped, because it
// tried to hand them over once, one after the other, and the store was unavailable then.
GATEWAY_TEST(shutdown, all_work_is_handed_over_once_the_store_is_back, longJobs()) {
  const std::size_t owner = co_await submitJobs(fixture);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(500));
  fixture.store().faults().silent = true;
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(100));
  fixture.gateway(owner).stop();
  co_await sleepFor(fixture.loop(), std::chrono::seconds(4));
  fixture.store().faults().silent = false;
  co_await assertHandedOver(fixture, owner, kHandOverTime);
}

// Guards against a stop that ends the items of its jobs while the store is unavailable, so that
// nobody runs them until the store is back.
GATEWAY_TEST(shutdown, items_run_until_their_job_can_be_handed_over, longJobs()) {
  const std::size_t owner = co_await submitJobs(fixture);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(500));
  fixture.store().faults().silent = true;
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(100));
  fixture.gateway(owner).stop();
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(2500));
  cr_assert_eq(fixture.model(0).dropped() + fixture.model(1).dropped(), 0);
  fixture.store().faults().silent = false;
  co_await assertHandedOver(fixture, owner, kHandOverTime);
  const bool resumed =
      co_await fixture.waitFor([&fixture] { return lastResumedEvent(fixture) > 0; });
  cr_assert(resumed, "no item was resumed");
  // An event each 20 ms, for some 3 s.
  cr_assert_gt(lastResumedEvent(fixture), 100);
}

// Guards against a stop that takes as many calls of the store in turn as the gateway has jobs.
GATEWAY_TEST(shutdown, jobs_are_handed_over_side_by_side_to_a_slow_store, longJobs()) {
  const std::size_t owner = co_await submitJobs(fixture);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(500));
  fixture.store().faults().overload.latency = std::chrono::seconds(1);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(100));
  fixture.gateway(owner).stop();
  // Some calls in turn: an open write, the checkpoint, the job's row and the lease's.
  co_await assertHandedOver(fixture, owner, std::chrono::milliseconds(5500));
}

// Guards against a job that a stopping gateway takes over by a write that was in progress at the
// signal, and then neither runs nor releases.
GATEWAY_TEST(shutdown, a_job_whose_takeover_ends_during_the_stop_is_released, longJobs()) {
  const std::size_t owner = co_await submitJobs(fixture);
  const std::size_t other = 1 - owner;
  test::WriteScript script{"linenpier/job/", {test::StoreAct::kAnswerLate}};
  fixture.store().setScript(script);
  fixture.cutFromStore(owner);
  const bool begun = co_await fixture.waitFor(
      [&fixture] { return fixture.store().actsLeft() == 0; }, std::chrono::seconds(8));
  cr_assert(begun, "no takeover");
  fixture.gateway(other).stop();
  co_await sleepFor(fixture.loop(), script.delay);
  co_await assertHandedOver(fixture, other, kHandOverTime);
}

// Guards against a connection that the end of the process closes without a response, so that the
// caller does not know what became of the request.
GATEWAY_TEST(shutdown, a_request_that_outlasts_the_stop_gets_a_response, test::FixtureOptions{}) {
  fixture.putConfiguration(4, kSlowRoute);
  for (std::size_t i = 0; i < 2; ++i) fixture.lookup(i).script() = {test::SamplerAct::kSilent};
  gateway::GatewaySettings settings = test::settingsOf(fixture.store().address(), "d0", {});
  settings.shutdown_timeout = std::chrono::milliseconds(4500);
  fixture.gateway().applySettings(settings);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(300));
  fixture.gateway().stop();
  const Instant begun = steadyNow();
  http::Request request = fixture.lookupRequest("slow", "/slow/1");
  request.set("Deadline-Ms", "15000");
  const http::CallOutcome outcome = co_await fixture.call(0, std::move(request));
  cr_assert(outcome.status == http::ExchangeStatus::kOk, "%s", http::toText(outcome.status));
  cr_assert_eq(outcome.response.result_int(), 502U, "got %u", outcome.response.result_int());
  cr_assert(steadyNow() - begun < settings.shutdown_timeout);
}

// Guards against requests that come late in a stop, are forwarded, and are cut off at its end.
GATEWAY_TEST(shutdown, requests_that_come_late_in_a_stop_get_a_response, test::FixtureOptions{}) {
  fixture.putConfiguration(4, kSlowRoute);
  for (std::size_t i = 0; i < 2; ++i) fixture.lookup(i).setSlow("/slow/", std::chrono::seconds(3));
  gateway::GatewaySettings settings = test::settingsOf(fixture.store().address(), "d0", {});
  settings.shutdown_timeout = std::chrono::milliseconds(6500);
  fixture.gateway().applySettings(settings);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(300));
  const Address address = fixture.gateway().requestAddress();
  http::ConnectionPool kept(fixture.loop(), {});
  cr_assert(co_await callAddress(fixture, kept, address) == http::ExchangeStatus::kOk);
  outcomes_by_id outcomes;
  std::size_t sent = 0;
  fixture.gateway().stop();
  const Instant end = steadyNow() + settings.shutdown_timeout;
  for (; steadyNow() < end; ++sent) {
    const std::string id = "late-" + std::to_string(sent);
    http::ConnectionPool* pool = sent % 2 == 0 ? &kept : nullptr;
    spawn(fixture.loop(), [&fixture, &outcomes, pool, id, address] {
      return callSlowRoute(fixture, pool, address, id, outcomes);
    });
    co_await sleepFor(fixture.loop(), std::chrono::milliseconds(100));
  }
  const bool all_ended =
      co_await fixture.waitFor([&outcomes, sent] { return outcomes.size() == sent; });
  cr_assert(all_ended, "%zu of %zu requests have ended", outcomes.size(), sent);
  std::size_t answered = 0;
  for (std::size_t i = 0; i < 2; ++i) {
    for (const auto& arrival : fixture.lookup(i).arrivals()) {
      const auto at = outcomes.find(arrival.fields.at("request-id"));
      if (at == outcomes.end()) continue;
      const http::ExchangeStatus status = at->second.status;
      cr_expect(status == http::ExchangeStatus::kOk, "%s was forwarded and got no response: %s",
                at->first.c_str(), http::toText(status));
      if (at->second.response.result_int() == 200U) ++answered;
    }
  }
  cr_expect_gt(answered, 5U, "only %zu requests were answered during the stop", answered);
}
