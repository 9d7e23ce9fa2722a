/// @file
/// End-to-end tests of batch jobs against a store that loses responses and becomes unavailable.

#include <nlohmann/json.hpp>

#include "support/gateway_fixture.h"

using namespace linenpier;
using nlohmann::json;
using test::endRequest;
using test::GatewayFixture;
using test::SamplerAct;
using test::twoGateways;

namespace {

std::string expectedText(const std::string& item, int events) {
  std::string text;
  for (int i = 1; i <= events; ++i) text += (i > 1 ? "\n" : "") + item + "." + std::to_string(i);
  return text;
}

/// Checks that the results contain each item of the job exactly once and complete.
void checkResults(const std::string& results, const std::string& job, int items, int events) {
  std::set<std::string> seen;
  std::size_t begin = 0;
  while (begin < results.size()) {
    const std::size_t end = results.find('\n', begin);
    const json result = json::parse(results.substr(begin, end - begin));
    const std::string id = result["id"];
    cr_assert(seen.insert(id).second, "%s is listed twice", id.c_str());
    cr_assert_eq(result["state"], "completed");
    cr_assert_eq(result["text"], expectedText(id, events));
    begin = end + 1;
  }
  cr_assert_eq(seen.size(), static_cast<std::size_t>(items));
  cr_assert(seen.contains(job + "-0"));
}

/// @return whether the daemon owns the job with the id "job".
bool isOwnedBy(GatewayFixture& fixture, const std::string& daemon) {
  const std::string record = fixture.store().get("linenpier", "job/job").value_or("");
  return record.find("\"owner\":\"" + daemon + "#") != std::string::npos;
}

}  // namespace

GATEWAY_TEST(batch_jobs, a_job_is_run_and_has_the_same_results_at_every_daemon, twoGateways(6)) {
  const auto accepted = co_await fixture.call(0, fixture.jobRequest("job", 9));
  cr_assert_eq(accepted.response.result_int(), 202U);
  const std::string first = co_await fixture.readAll(0, "job");
  const std::string second = co_await fixture.readAll(1, "job");
  cr_assert_eq(first, second);
  checkResults(first, "job", 9, 6);
  const auto ended = co_await fixture.call(1, endRequest("job"));
  cr_assert_eq(ended.response.result_int(), 200U);
  const auto again = co_await fixture.call(0, endRequest("job"));
  cr_assert_eq(again.response.result_int(), 200U);
  const std::string after = co_await fixture.readAll(1, "job");
  cr_assert_eq(after, first, "published results changed");
}

GATEWAY_TEST(batch_jobs, a_job_submitted_twice_is_accepted_once, twoGateways(3)) {
  const auto one = co_await fixture.call(0, fixture.jobRequest("job", 4));
  const auto other = co_await fixture.call(1, fixture.jobRequest("job", 4));
  cr_assert_eq(one.response.result_int(), 202U);
  cr_assert_eq(other.response.result_int(), 202U);
  const std::string results = co_await fixture.readAll(1, "job");
  checkResults(results, "job", 4, 3);
  cr_assert_eq(fixture.model(0).arrivals().size() + fixture.model(1).arrivals().size(), 4U);
}

GATEWAY_TEST(batch_jobs, a_job_whose_row_was_written_without_a_response_is_accepted,
             twoGateways(3)) {
  fixture.store().faults().lose_writes = 1;
  const auto accepted = co_await fixture.call(0, fixture.jobRequest("job", 4));
  cr_assert(accepted.response.result_int() == 202U || accepted.response.result_int() == 502U,
            "must not be reported as not executed");
  const std::string results = co_await fixture.readAll(1, "job");
  checkResults(results, "job", 4, 3);
}

GATEWAY_TEST(batch_jobs, a_job_is_refused_and_not_run_while_the_store_is_unavailable,
             twoGateways(3)) {
  fixture.store().faults().refuse = true;
  const Instant begun = steadyNow();
  const auto refused = co_await fixture.call(0, fixture.jobRequest("job", 4));
  cr_assert_eq(refused.response.result_int(), 503U);
  cr_assert(steadyNow() - begun < std::chrono::seconds(1));
  cr_assert(!http::fieldText(refused.response, "Retry-After").empty());
  fixture.store().faults().refuse = false;
  co_await sleepFor(fixture.loop(), std::chrono::seconds(2));
  cr_assert(fixture.model(0).arrivals().empty() && fixture.model(1).arrivals().empty());
}

GATEWAY_TEST(batch_jobs, delayed_or_unanswered_appends_never_change_a_position, twoGateways(5)) {
  co_await fixture.call(0, fixture.jobRequest("job", 12));
  fixture.store().faults().lose_writes = 2;
  fixture.store().faults().delay_writes = 1;
  const std::string first = co_await fixture.readAll(1, "job");
  const std::string second = co_await fixture.readAll(0, "job");
  cr_assert_eq(first, second);
  checkResults(first, "job", 12, 5);
}

GATEWAY_TEST(batch_jobs, many_results_at_once_fit_into_the_stores_writes, twoGateways(2)) {
  co_await fixture.call(0, fixture.jobRequest("job", 130));
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(30));
  fixture.store().faults().refuse = true;
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(900));
  fixture.store().faults().refuse = false;
  const std::string results = co_await fixture.readAll(1, "job");
  checkResults(results, "job", 130, 2);
}

GATEWAY_TEST(batch_jobs, a_graceful_stop_hands_the_job_over_with_its_partial_results,
             twoGateways(60)) {
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setEventGap(std::chrono::milliseconds(20));
  co_await fixture.call(0, fixture.jobRequest("job", 4));
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(500));
  fixture.gateway(0).stop();
  const std::string results = co_await fixture.readAll(1, "job");
  checkResults(results, "job", 4, 60);
  int resumed = 0;
  for (std::size_t i = 0; i < 2; ++i) {
    for (const auto& arrival : fixture.model(i).arrivals()) {
      resumed += arrival.fields.contains("last-event-id") ? 1 : 0;
    }
  }
  cr_assert(resumed >= 1, "no item was resumed");
}

GATEWAY_TEST(batch_jobs, items_complete_although_engines_shed_disconnect_and_fail, twoGateways(8)) {
  for (std::size_t i = 0; i < 2; ++i) {
    auto& script = fixture.model(i).script();
    script = {SamplerAct::kShed, SamplerAct::kCutShort, SamplerAct::kFail, SamplerAct::kClose};
  }
  co_await fixture.call(0, fixture.jobRequest("job", 8));
  const std::string results = co_await fixture.readAll(0, "job");
  checkResults(results, "job", 8, 8);
}

GATEWAY_TEST(batch_jobs, an_item_that_always_fails_is_listed_as_terminated,
             test::FixtureOptions{}) {
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).script() = {SamplerAct::kReject};
  co_await fixture.call(0, fixture.jobRequest("job", 1));
  const std::string results = co_await fixture.readAll(0, "job");
  const json result = json::parse(results);
  cr_assert_eq(result["state"], "terminated");
  cr_assert_eq(result["text"], "");
}

GATEWAY_TEST(batch_jobs, item_bodies_can_be_read_at_every_daemon, twoGateways(40)) {
  co_await fixture.call(0, fixture.jobRequest("job", 3));
  for (std::size_t gateway = 0; gateway < 2; ++gateway) {
    http::Request request(boost::beast::http::verb::get, "/linenpier/items/job?id=job-2", 11);
    request.set("Host", "h.example");
    const auto outcome = co_await fixture.call(gateway, std::move(request));
    cr_assert_eq(outcome.response.result_int(), 200U);
    cr_assert_eq(outcome.response.body(), "prompt 2");
  }
  http::Request unknown(boost::beast::http::verb::get, "/linenpier/items/job?id=other", 11);
  const auto outcome = co_await fixture.call(1, std::move(unknown));
  cr_assert_eq(outcome.response.result_int(), 404U);
}

GATEWAY_TEST(batch_jobs, an_unknown_job_is_not_found_only_if_the_store_confirms_it,
             test::FixtureOptions{}) {
  http::Request request(boost::beast::http::verb::get, "/linenpier/lots/none?afterRev=0", 11);
  auto outcome = co_await fixture.call(0, request);
  cr_assert_eq(outcome.response.result_int(), 404U);
  fixture.store().faults().refuse = true;
  outcome = co_await fixture.call(0, request);
  cr_assert_eq(outcome.response.result_int(), 503U);
  fixture.store().faults().refuse = false;
  fixture.store().faults().nonsense = true;
  outcome = co_await fixture.call(0, request);
  cr_assert_eq(outcome.response.result_int(), 503U,
               "an invalid store response must not be taken for a missing job");
}

GATEWAY_TEST(batch_jobs, ending_a_job_stops_its_items_at_another_daemon, twoGateways(400)) {
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setEventGap(std::chrono::milliseconds(10));
  co_await fixture.call(0, fixture.jobRequest("job", 4));
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(200));
  const auto ended = co_await fixture.call(1, endRequest("job"));
  cr_assert_eq(ended.response.result_int(), 200U);
  const bool stopped = co_await fixture.waitFor(
      [&fixture] { return fixture.model(0).dropped() + fixture.model(1).dropped() >= 4; },
      std::chrono::seconds(2));
  cr_assert(stopped);
}

GATEWAY_TEST(batch_jobs, items_repeated_in_a_later_job_are_resumed, twoGateways(60)) {
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setEventGap(std::chrono::milliseconds(10));
  co_await fixture.call(0, fixture.jobRequest("first", 3));
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(250));
  co_await fixture.call(1, endRequest("first"));
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(250));
  // Submitted to a daemon that did not run the first job.
  http::Request again = fixture.jobRequest("first", 3);
  again.set("Request-Id", "second");
  again.target("/jobs/second");
  const auto accepted = co_await fixture.call(1, std::move(again));
  cr_assert_eq(accepted.response.result_int(), 202U);
  const std::string results = co_await fixture.readAll(0, "second");
  checkResults(results, "first", 3, 60);
  int resumed = 0;
  for (std::size_t i = 0; i < 2; ++i) {
    for (const auto& arrival : fixture.model(i).arrivals()) {
      resumed += arrival.fields.contains("last-event-id") ? 1 : 0;
    }
  }
  cr_assert(resumed >= 3, "only %d items were resumed", resumed);
}

namespace {

test::FixtureOptions shortRetention() {
  test::FixtureOptions options = twoGateways(60);
  options.keep_jobs = std::chrono::milliseconds(600);
  return options;
}

/// @return whether the store has no data of the job.
bool isRemoved(test::StandinStore& store, const std::string& job) {
  for (const char* table : {"linenpier", "results", "checkpoints"}) {
    for (const std::string& key : store.keys(table)) {
      if (key.find(job) != std::string::npos) return false;
    }
  }
  return store.objectNames("job-" + job).empty();
}

/// @return the number of checkpoint rows of the job.
std::size_t countCheckpointRows(test::StandinStore& store, const std::string& job) {
  const std::vector<std::string> keys = store.keys("checkpoints");
  return static_cast<std::size_t>(
      std::count_if(keys.begin(), keys.end(),
                    [&](const std::string& key) { return key.starts_with(job + "/"); }));
}

}  // namespace

GATEWAY_TEST(batch_jobs, all_data_of_a_job_is_removed_after_its_retention_time, shortRetention()) {
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setEventGap(std::chrono::milliseconds(20));
  co_await fixture.call(0, fixture.jobRequest("open", 2));
  co_await fixture.call(0, fixture.jobRequest("ended", 120));
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(1300));
  cr_assert(countCheckpointRows(fixture.store(), "ended") > 0);
  cr_assert(countCheckpointRows(fixture.store(), "ended") <= 2,
            "more than one checkpoint part per 0.5 s");
  co_await fixture.call(1, endRequest("ended"));
  const bool removed = co_await fixture.waitFor(
      [&fixture] { return isRemoved(fixture.store(), "ended"); }, std::chrono::seconds(12));
  cr_assert(removed);
  cr_assert_not(isRemoved(fixture.store(), "open"), "an open job was removed");
}

GATEWAY_TEST(batch_jobs, a_malformed_job_gets_every_finding, test::FixtureOptions{}) {
  http::Request request = fixture.jobRequest("job", 1);
  request.body() = R"({"minVersion":"x","requests":[{"path":1}]})";
  request.prepare_payload();
  const auto outcome = co_await fixture.call(0, std::move(request));
  cr_assert_eq(outcome.response.result_int(), 400U);
  cr_assert(outcome.response.body().find("minVersion") != std::string::npos);
  cr_assert(outcome.response.body().find("requests[0].path") != std::string::npos);
}

GATEWAY_TEST(batch_jobs, a_hanging_feed_is_not_treated_as_a_lost_owner, twoGateways(300)) {
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setEventGap(std::chrono::milliseconds(20));
  co_await fixture.call(0, fixture.jobRequest("job", 3));
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(300));
  // All feeds hang for longer than the lease duration; reads and writes still work.
  fixture.store().faults().hang_feeds = true;
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(2000));
  fixture.store().faults().hang_feeds = false;
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(300));
  const std::string record = fixture.store().get("linenpier", "job/job").value_or("");
  cr_assert(record.find("\"owner\":\"d0#") != std::string::npos, "taken over: %s", record.c_str());
}

GATEWAY_TEST(batch_jobs, the_jobs_of_a_model_are_run_by_one_daemon_while_it_lives,
             twoGateways(80)) {
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setEventGap(std::chrono::milliseconds(10));
  co_await fixture.call(0, fixture.jobRequest("first", 2));
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(1500));
  const auto accepted = co_await fixture.call(1, fixture.jobRequest("second", 2));
  cr_assert_eq(accepted.response.result_int(), 202U);
  std::string record = fixture.store().get("linenpier", "job/second").value_or("");
  cr_assert(record.find("\"owner\":\"d0#") != std::string::npos, "%s", record.c_str());
  const std::string results = co_await fixture.readAll(1, "second");
  checkResults(results, "second", 2, 80);
  fixture.cutFromStore(0);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(3500));
  co_await fixture.call(1, fixture.jobRequest("third", 2));
  record = fixture.store().get("linenpier", "job/third").value_or("");
  cr_assert(record.find("\"owner\":\"d1#") != std::string::npos, "%s", record.c_str());
}

GATEWAY_TEST(batch_jobs, lease_renewals_are_not_sent_to_every_daemon, twoGateways(200)) {
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setEventGap(std::chrono::milliseconds(10));
  co_await fixture.call(0, fixture.jobRequest("job", 2));
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(300));
  const int before = fixture.store().feedAnswers("linenpier");
  const std::uint64_t writes_before = fixture.store().writes();
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(1500));
  cr_assert(fixture.store().writes() > writes_before, "no lease was renewed");
  cr_assert_eq(fixture.store().feedAnswers("linenpier"), before);
}

GATEWAY_TEST(batch_jobs, a_silent_owner_is_replaced_and_its_items_are_resumed, twoGateways(90)) {
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setEventGap(std::chrono::milliseconds(25));
  co_await fixture.call(0, fixture.jobRequest("job", 3));
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(900));
  fixture.cutFromStore(0);
  const bool taken = co_await fixture.waitFor([&fixture] { return isOwnedBy(fixture, "d1"); });
  cr_assert(taken);
  const std::string results = co_await fixture.readAll(1, "job");
  checkResults(results, "job", 3, 90);
}

// Guards against an orphaned job: the feed delivers a takeover whose write response was lost, so
// that the daemon owns the job in the store without running it.
GATEWAY_TEST(batch_jobs, a_takeover_that_the_feed_reports_before_its_response_is_completed,
             twoGateways(90)) {
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setEventGap(std::chrono::milliseconds(25));
  co_await fixture.call(0, fixture.jobRequest("job", 3));
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(900));
  fixture.store().faults().lose_writes = 1000;
  fixture.cutFromStore(0);
  const bool taken = co_await fixture.waitFor([&fixture] { return isOwnedBy(fixture, "d1"); });
  fixture.store().faults().lose_writes = 0;
  cr_assert(taken);
  const std::string results = co_await fixture.readAll(1, "job");
  checkResults(results, "job", 3, 90);
}

GATEWAY_TEST(named_versions, a_named_version_reaches_every_engine_under_one_token, twoGateways(3)) {
  fixture.store().put("op", "version/m", R"({"model":"m","version":2})");
  const bool reached = co_await fixture.waitFor(
      [&fixture] { return fixture.model(0).version() == 2 && fixture.model(1).version() == 2; });
  cr_assert(reached);
  std::set<std::string> holders;
  std::set<std::uint64_t> tokens;
  for (std::size_t i = 0; i < 2; ++i) {
    cr_assert_eq(fixture.model(i).orders().size(), 1U);
    const json order = json::parse(fixture.model(i).orders()[0]);
    holders.insert(order["holder"].get<std::string>());
    tokens.insert(order["fence"].get<std::uint64_t>());
  }
  cr_assert_eq(holders.size(), 1U);
  cr_assert_eq(tokens.size(), 1U);
}

GATEWAY_TEST(batch_jobs, a_stopping_daemon_hands_over_a_job_that_it_learns_of_later,
             twoGateways(200)) {
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setEventGap(std::chrono::milliseconds(10));
  co_await fixture.call(0, fixture.jobRequest("first", 2));
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(1500));
  fixture.store().faults().hang_feeds = true;
  const auto accepted = co_await fixture.call(1, fixture.jobRequest("second", 2));
  cr_assert_eq(accepted.response.result_int(), 202U);
  std::string record = fixture.store().get("linenpier", "job/second").value_or("");
  cr_assert(record.find("\"owner\":\"d0#") != std::string::npos, "%s", record.c_str());
  fixture.gateway(0).stop();
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(100));
  fixture.store().faults().hang_feeds = false;
  const bool given_up = co_await fixture.waitFor(
      [&fixture] {
        const std::string row = fixture.store().get("linenpier", "job/second").value_or("");
        return row.find("\"owner\":\"d0#") == std::string::npos;
      },
      std::chrono::milliseconds(1000));
  cr_assert(given_up, "the job was not handed over before the lease expired");
}

GATEWAY_TEST(batch_jobs, ending_a_job_at_a_daemon_with_a_stale_row_is_accepted, twoGateways(6)) {
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setEventGap(std::chrono::milliseconds(60));
  co_await fixture.call(0, fixture.jobRequest("job", 4));
  const std::string before = fixture.store().get("linenpier", "job/job").value_or("");
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(200));
  fixture.store().faults().hang_feeds = true;
  const bool released = co_await fixture.waitFor([&fixture] {
    const std::string row = fixture.store().get("linenpier", "job/job").value_or("{}");
    return json::parse(row).value("released", 0) == 4;
  });
  cr_assert(released && !before.empty());
  const auto ended = co_await fixture.call(1, endRequest("job"));
  cr_assert_eq(ended.response.result_int(), 200U);
  const json row = json::parse(fixture.store().get("linenpier", "job/job").value_or("{}"));
  cr_assert_eq(row.value("ended", false), true);
  cr_assert_eq(row.value("released", 0), 4, "released results were withdrawn");
}

GATEWAY_TEST(batch_jobs, a_daemon_without_the_store_time_accepts_no_job, test::FixtureOptions{}) {
  // A daemon that has started but not received the store's time yet.
  fixture.store().faults().no_clock = true;
  fixture.addGateway("late");
  cr_assert(co_await fixture.waitReady(1));
  http::Request early = fixture.jobRequest("j1", 2);
  const http::CallOutcome refused = co_await fixture.call(1, std::move(early));
  cr_assert_eq(refused.response.result_int(), 503U);
  cr_assert(fixture.model(0).arrivals().empty());
  fixture.store().faults().no_clock = false;
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(1500));
  http::Request again = fixture.jobRequest("j1", 2);
  const http::CallOutcome taken = co_await fixture.call(1, std::move(again));
  cr_assert_eq(taken.response.result_int(), 202U);
  const std::string id = "j1";
  const std::string all = co_await fixture.readAll(1, id);
  cr_assert_eq(all.find("terminated"), std::string::npos);
  std::quick_exit(0);
}
