/// @file
/// End-to-end tests of reward requests: a result is published only together with its score, also
/// after failures between generation and scoring.

#include <nlohmann/json.hpp>

#include "support/gateway_fixture.h"

using namespace linenpier;
using nlohmann::json;
using test::endRequest;
using test::GatewayFixture;
using test::SamplerAct;
using test::twoGateways;

namespace {

std::vector<json> parseLines(const std::string& results) {
  std::vector<json> parsed;
  std::size_t begin = 0;
  while (begin < results.size()) {
    const std::size_t end = results.find('\n', begin);
    parsed.push_back(json::parse(results.substr(begin, end - begin)));
    begin = end + 1;
  }
  return parsed;
}

/// Checks that each result is completed and has the signature of its own reward request as score.
void checkScores(const std::string& results, std::size_t items) {
  const std::vector<json> parsed = parseLines(results);
  cr_assert_eq(parsed.size(), items);
  for (const json& result : parsed) {
    cr_assert_eq(result["state"], "completed");
    cr_assert_eq(result.value("score", ""), "s-r-" + result["id"].get<std::string>());
  }
}

std::size_t countRewardRequests(GatewayFixture& fixture) {
  std::size_t count = 0;
  for (std::size_t i = 0; i < 2; ++i) {
    for (const auto& arrival : fixture.lookup(i).arrivals()) {
      count += arrival.target.starts_with("/reward/") ? 1 : 0;
    }
  }
  return count;
}

/// @return generation requests that started from scratch, without resumed ones.
std::size_t countNewRuns(GatewayFixture& fixture) {
  std::size_t count = 0;
  for (std::size_t i = 0; i < 2; ++i) {
    for (const auto& arrival : fixture.model(i).arrivals()) {
      count += arrival.fields.contains("last-event-id") ? 0 : 1;
    }
  }
  return count;
}

void scriptRewardSamplers(GatewayFixture& fixture, SamplerAct act, std::size_t times) {
  for (std::size_t i = 0; i < 2; ++i) fixture.lookup(i).script().assign(times, act);
}

}  // namespace

GATEWAY_TEST(scoring, every_result_carries_the_score_of_its_own_request, twoGateways(6)) {
  const auto accepted = co_await fixture.call(0, fixture.scoredJobRequest("job", 9));
  cr_assert_eq(accepted.response.result_int(), 202U);
  const std::string results = co_await fixture.readAll(1, "job");
  checkScores(results, 9);
  cr_assert_eq(countRewardRequests(fixture), 9U);
  for (const auto& arrival : fixture.lookup(0).arrivals()) {
    cr_assert_eq(arrival.method, "POST");
    const std::string item = arrival.target.substr(std::string("/reward/").size());
    cr_assert_eq(arrival.body, "score " + item);
    cr_assert_eq(arrival.fields.at("request-id"), "r-" + item);
    cr_assert_eq(arrival.fields.at("host"), "h.example");
    const int deadline = std::stoi(arrival.fields.at("deadline-ms"));
    cr_assert(deadline > 0 && deadline <= 1200, "%d", deadline);
  }
}

GATEWAY_TEST(scoring, late_invalid_or_truncated_scores_are_requested_again, twoGateways(4)) {
  for (std::size_t i = 0; i < 2; ++i) {
    fixture.lookup(i).script() = {
        SamplerAct::kShed,  SamplerAct::kCutShort,     SamplerAct::kNonsense, SamplerAct::kUnsigned,
        SamplerAct::kClose, SamplerAct::kSurplusFirst, SamplerAct::kUnframed, SamplerAct::kSilent,
        SamplerAct::kFail,  SamplerAct::kExtraAfter};
  }
  co_await fixture.call(0, fixture.scoredJobRequest("job", 8));
  const std::string results = co_await fixture.readAll(0, "job");
  checkScores(results, 8);
  cr_assert_eq(countNewRuns(fixture), 8U, "a complete text was generated again");
}

GATEWAY_TEST(scoring, an_item_whose_scoring_always_fails_is_terminated, test::FixtureOptions{}) {
  scriptRewardSamplers(fixture, SamplerAct::kFail, 10);
  co_await fixture.call(0, fixture.scoredJobRequest("job", 1));
  const std::string results = co_await fixture.readAll(0, "job");
  const json result = json::parse(results);
  cr_assert_eq(result["state"], "terminated");
  cr_assert_eq(result["text"], "");
  cr_assert_not(result.contains("score"));
  // The route allows three requests; each of them tries both samplers once.
  cr_assert(countRewardRequests(fixture) == 3 || countRewardRequests(fixture) == 4);
}

GATEWAY_TEST(scoring, refusals_and_timeouts_do_not_count_as_failures, test::FixtureOptions{}) {
  scriptRewardSamplers(fixture, SamplerAct::kShed, 6);
  co_await fixture.call(0, fixture.scoredJobRequest("job", 1));
  const std::string results = co_await fixture.readAll(0, "job");
  checkScores(results, 1);
}

GATEWAY_TEST(scoring, a_stop_between_text_and_score_loses_neither, twoGateways(12)) {
  scriptRewardSamplers(fixture, SamplerAct::kSilent, 100);
  co_await fixture.call(0, fixture.scoredJobRequest("job", 4));
  const bool asked =
      co_await fixture.waitFor([&fixture] { return countRewardRequests(fixture) >= 4; });
  cr_assert(asked);
  fixture.gateway(0).stop();
  scriptRewardSamplers(fixture, SamplerAct::kAnswer, 0);
  const std::string results = co_await fixture.readAll(1, "job");
  checkScores(results, 4);
  cr_assert_eq(countNewRuns(fixture), 4U, "a complete text was generated again");
}

GATEWAY_TEST(scoring, an_owner_lost_between_text_and_score_is_replaced, twoGateways(12)) {
  scriptRewardSamplers(fixture, SamplerAct::kSilent, 200);
  co_await fixture.call(0, fixture.scoredJobRequest("job", 4));
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(900));
  fixture.cutFromStore(0);
  const bool taken = co_await fixture.waitFor([&fixture] {
    const std::string record = fixture.store().get("linenpier", "job/job").value_or("");
    return record.find("\"owner\":\"d1#") != std::string::npos;
  });
  cr_assert(taken);
  scriptRewardSamplers(fixture, SamplerAct::kAnswer, 0);
  const std::string results = co_await fixture.readAll(1, "job");
  checkScores(results, 4);
  cr_assert_eq(countNewRuns(fixture), 4U, "a complete text was generated again");
}

GATEWAY_TEST(scoring, no_reward_request_is_sent_after_the_end_of_its_job, twoGateways(4)) {
  scriptRewardSamplers(fixture, SamplerAct::kSilent, 100);
  co_await fixture.call(0, fixture.scoredJobRequest("job", 4));
  const bool asked =
      co_await fixture.waitFor([&fixture] { return countRewardRequests(fixture) >= 4; });
  cr_assert(asked);
  const auto ended = co_await fixture.call(1, endRequest("job"));
  cr_assert_eq(ended.response.result_int(), 200U);
  const bool stopped = co_await fixture.waitFor(
      [&fixture] { return fixture.lookup(0).dropped() + fixture.lookup(1).dropped() >= 4; },
      std::chrono::seconds(2));
  cr_assert(stopped);
  const std::size_t before = countRewardRequests(fixture);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(800));
  cr_assert_eq(countRewardRequests(fixture), before);
}

GATEWAY_TEST(scoring, client_requests_are_served_beside_many_reward_requests, twoGateways(3)) {
  scriptRewardSamplers(fixture, SamplerAct::kSilent, 6);
  co_await fixture.call(0, fixture.scoredJobRequest("job", 40));
  const bool asked =
      co_await fixture.waitFor([&fixture] { return countRewardRequests(fixture) >= 10; });
  cr_assert(asked);
  for (std::size_t i = 0; i < 2; ++i) fixture.lookup(i).script().clear();
  const Instant begun = steadyNow();
  const auto answered = co_await fixture.call(0, fixture.lookupRequest("caller"));
  cr_assert_eq(answered.response.result_int(), 200U);
  cr_assert(steadyNow() - begun < std::chrono::milliseconds(150));
  const std::string results = co_await fixture.readAll(0, "job");
  checkScores(results, 40);
}

GATEWAY_TEST(scoring, the_newest_configuration_routes_reward_requests, twoGateways(4)) {
  http::Request request = fixture.scoredJobRequest("job", 2);
  std::string body = request.body();
  for (std::size_t at = body.find("/reward/"); at != std::string::npos;
       at = body.find("/reward/", at)) {
    body.replace(at, std::string("/reward/").size(), "/later/");
  }
  request.body() = body;
  request.prepare_payload();
  co_await fixture.call(0, std::move(request));
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(400));
  cr_assert(fixture.lookup(0).arrivals().empty(), "a reward request was sent without a route");
  fixture.putConfiguration(
      4, R"(,{"name":"later","host":"h.example","pathPrefix":"/later/","kind":"idempotent",
              "timeoutMs":1200,"targetLatencyMs":150,"service":"desk","maxAttempts":3})");
  const std::string results = co_await fixture.readAll(0, "job");
  checkScores(results, 2);
}
