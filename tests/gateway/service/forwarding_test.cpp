/// @file
/// End-to-end tests of request forwarding to samplers that violate the protocol.

#include <boost/asio/write.hpp>

#include "support/gateway_fixture.h"

using namespace linenpier;
using test::GatewayFixture;
using test::SamplerAct;

namespace {

std::size_t arrivals(GatewayFixture& fixture) {
  return fixture.lookup(0).arrivals().size() + fixture.lookup(1).arrivals().size();
}

/// Makes both samplers handle their next request with `act`.
void scriptBothSamplers(GatewayFixture& fixture, SamplerAct act) {
  fixture.lookup(0).script().push_back(act);
  fixture.lookup(1).script().push_back(act);
}

/// Sends raw bytes and reads until the connection is closed or idle for `idle_timeout`.
Task<std::string> exchangeRaw(GatewayFixture& fixture, std::string bytes, Duration idle_timeout) {
  http::ConnectionPool pool(fixture.loop(), {});
  const Address address = fixture.gateway().requestAddress();
  const auto connection = co_await pool.connect(address, steadyNow() + std::chrono::seconds(1));
  boost::system::error_code error;
  co_await boost::asio::async_write(connection->stream, boost::asio::buffer(bytes),
                                    boost::asio::redirect_error(boost::asio::use_awaitable, error));
  std::string answer;
  char piece[4096];
  for (;;) {
    connection->stream.expires_after(idle_timeout);
    const std::size_t received = co_await connection->stream.async_read_some(
        boost::asio::buffer(piece), boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (error) break;
    answer.append(piece, received);
  }
  co_return answer;
}

}  // namespace

GATEWAY_TEST(forwarding, a_request_and_its_answer_pass_unchanged, test::FixtureOptions{}) {
  http::Request request = fixture.lookupRequest("r1", "/look/a?b=c%20d");
  request.set("X-Own", "kept");
  request.set("Connection", "keep-alive, X-Hop");
  request.set("X-Hop", "dropped");
  const http::CallOutcome outcome = co_await fixture.call(0, std::move(request));
  cr_assert_eq(outcome.response.result_int(), 200U);
  cr_assert_eq(outcome.response.body(), "answer to r1");
  cr_assert_eq(http::fieldText(outcome.response, "Response-Signature"), "s-r1");
  cr_assert_eq(arrivals(fixture), 1U);
  const auto& arrival = fixture.lookup(0).arrivals().empty() ? fixture.lookup(1).arrivals()[0]
                                                             : fixture.lookup(0).arrivals()[0];
  cr_assert_eq(arrival.method, "POST");
  cr_assert_eq(arrival.target, "/look/a?b=c%20d");
  cr_assert_eq(arrival.body, "body of r1");
  cr_assert_eq(arrival.fields.at("x-own"), "kept");
  cr_assert_eq(arrival.fields.count("x-hop"), 0U);
  cr_assert(std::stoi(arrival.fields.at("deadline-ms")) <= 1000);
}

GATEWAY_TEST(forwarding, invalid_responses_are_replaced_by_those_of_another_engine,
             test::FixtureOptions{}) {
  const std::vector<SamplerAct> acts = {SamplerAct::kCutShort, SamplerAct::kNonsense,
                                        SamplerAct::kUnsigned, SamplerAct::kClose,
                                        SamplerAct::kFail,     SamplerAct::kShed};
  int number = 0;
  for (const SamplerAct act : acts) {
    const std::string id = "r" + std::to_string(++number);
    // Only the first engine that receives the request fails.
    scriptBothSamplers(fixture, act);
    fixture.lookup(0).script().push_back(SamplerAct::kAnswer);
    const std::size_t before = arrivals(fixture);
    auto outcome = co_await fixture.call(0, fixture.lookupRequest(id));
    const bool both_failed = outcome.response.result_int() != 200;
    if (both_failed) {
      cr_assert(outcome.response.body() != "answer to " + id || act == SamplerAct::kFail);
    }
    cr_assert(arrivals(fixture) - before <= 2, "more than two engines were tried");
    fixture.lookup(0).script().clear();
    fixture.lookup(1).script().clear();
    // Waits until backed-off engines are used again.
    co_await sleepFor(fixture.loop(), std::chrono::milliseconds(900));
    outcome = co_await fixture.call(0, fixture.lookupRequest(id + "again"));
    cr_assert_eq(outcome.response.body(), "answer to " + id + "again", "after act %d", number);
  }
}

GATEWAY_TEST(forwarding, a_surplus_response_is_never_matched_to_another_request,
             test::FixtureOptions{}) {
  for (int i = 0; i < 12; ++i) {
    scriptBothSamplers(fixture, i % 2 == 0 ? SamplerAct::kExtraAfter : SamplerAct::kSurplusFirst);
    const std::string id = "r" + std::to_string(i);
    const auto outcome = co_await fixture.call(0, fixture.lookupRequest(id));
    cr_assert_eq(outcome.response.body(), "answer to " + id);
    fixture.lookup(0).script().clear();
    fixture.lookup(1).script().clear();
  }
}

GATEWAY_TEST(forwarding, a_response_delimited_by_connection_close_is_complete,
             test::FixtureOptions{}) {
  scriptBothSamplers(fixture, SamplerAct::kUnframed);
  const auto outcome = co_await fixture.call(0, fixture.lookupRequest("r1"));
  cr_assert_eq(outcome.response.result_int(), 200U);
  cr_assert_eq(outcome.response.body(), "answer to r1");
}

GATEWAY_TEST(forwarding, a_non_idempotent_request_reaches_one_engine_and_is_not_refused_after,
             test::FixtureOptions{}) {
  scriptBothSamplers(fixture, SamplerAct::kClose);
  auto outcome = co_await fixture.call(0, fixture.lookupRequest("r1", "/once/1"));
  cr_assert_eq(outcome.response.result_int(), 502U,
               "a request that may have run must not be refused as not executed");
  cr_assert_eq(arrivals(fixture), 1U);
  fixture.lookup(0).script().clear();
  fixture.lookup(1).script().clear();
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(900));
  scriptBothSamplers(fixture, SamplerAct::kShed);
  outcome = co_await fixture.call(0, fixture.lookupRequest("r2", "/once/1"));
  cr_assert_eq(outcome.response.result_int(), 503U,
               "both engines reported that they did not execute it");
  cr_assert(!http::fieldText(outcome.response, "Retry-After").empty());
  cr_assert_eq(arrivals(fixture), 3U);
}

GATEWAY_TEST(forwarding, an_engine_failure_of_a_non_idempotent_request_is_forwarded,
             test::FixtureOptions{}) {
  scriptBothSamplers(fixture, SamplerAct::kFail);
  const auto outcome = co_await fixture.call(0, fixture.lookupRequest("r1", "/once/1"));
  cr_assert_eq(outcome.response.result_int(), 500U);
  cr_assert_eq(http::fieldText(outcome.response, "Response-Signature"), "s-r1");
  cr_assert_eq(outcome.response.body(), "failed");
}

GATEWAY_TEST(forwarding, a_silent_engine_causes_a_timeout_at_the_deadline, test::FixtureOptions{}) {
  scriptBothSamplers(fixture, SamplerAct::kSilent);
  http::Request request = fixture.lookupRequest("r1");
  request.set("Deadline-Ms", "300");
  const Instant begun = steadyNow();
  const auto outcome = co_await fixture.call(0, std::move(request));
  const Duration took = steadyNow() - begun;
  cr_assert_eq(outcome.response.result_int(), 504U);
  cr_assert(took >= std::chrono::milliseconds(290) && took < std::chrono::milliseconds(700));
}

GATEWAY_TEST(forwarding, a_client_disconnect_cancels_the_engine_request, test::FixtureOptions{}) {
  scriptBothSamplers(fixture, SamplerAct::kSilent);
  co_await exchangeRaw(fixture,
                       "POST /look/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n"
                       "Deadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n",
                       std::chrono::milliseconds(150));
  const bool dropped = co_await fixture.waitFor(
      [&fixture] { return fixture.lookup(0).dropped() + fixture.lookup(1).dropped() >= 1; },
      std::chrono::milliseconds(500));
  cr_assert(dropped);
}

GATEWAY_TEST(forwarding, a_path_without_a_route_is_not_found_only_under_a_known_configuration,
             test::FixtureOptions{}) {
  auto outcome = co_await fixture.call(0, fixture.lookupRequest("r1", "/nowhere/1"));
  cr_assert_eq(outcome.response.result_int(), 404U);
  fixture.store().faults().refuse = true;
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(2600));
  outcome = co_await fixture.call(0, fixture.lookupRequest("r2", "/nowhere/1"));
  cr_assert_eq(outcome.response.result_int(), 503U,
               "the route may be newer than the known configuration");
  outcome = co_await fixture.call(0, fixture.lookupRequest("r3"));
  cr_assert_eq(outcome.response.result_int(), 200U, "known routes are served without the store");
}

GATEWAY_TEST(forwarding, a_new_configuration_applies_at_once_and_an_older_one_never,
             test::FixtureOptions{}) {
  const std::string route =
      R"(,{"name":"new","host":"h.example","pathPrefix":"/new/","kind":"idempotent",
            "timeoutMs":1000,"targetLatencyMs":100,"service":"desk","maxAttempts":1})";
  fixture.putConfiguration(9, route);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(150));
  auto outcome = co_await fixture.call(0, fixture.lookupRequest("r1", "/new/1"));
  cr_assert_eq(outcome.response.result_int(), 200U);
  fixture.putConfiguration(5);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(150));
  outcome = co_await fixture.call(0, fixture.lookupRequest("r2", "/new/1"));
  cr_assert_eq(outcome.response.result_int(), 200U);
}

GATEWAY_TEST(forwarding, an_invalid_configuration_is_ignored, test::FixtureOptions{}) {
  fixture.store().put("op", "config", "{\"version\":50,\"routes\":[{}]}");
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(150));
  const auto outcome = co_await fixture.call(0, fixture.lookupRequest("r1"));
  cr_assert_eq(outcome.response.result_int(), 200U);
}

GATEWAY_TEST(forwarding, draining_or_removed_engines_get_no_requests_also_after_a_feed_reset,
             test::FixtureOptions{}) {
  fixture.store().faults().forget_history = true;
  fixture.store().put("servers", "look-0", fixture.lookup(0).entry("desk", "draining"));
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(300));
  for (int i = 0; i < 8; ++i) {
    co_await fixture.call(0, fixture.lookupRequest("r" + std::to_string(i)));
  }
  cr_assert(fixture.lookup(0).arrivals().empty());
  fixture.store().remove("servers", "look-1");
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(300));
  const auto outcome = co_await fixture.call(0, fixture.lookupRequest("last"));
  cr_assert_eq(outcome.response.result_int(), 503U);
  cr_assert_eq(fixture.lookup(1).arrivals().size(), 8U);
}

GATEWAY_TEST(forwarding, malformed_requests_get_an_error_status_and_the_daemon_survives,
             test::FixtureOptions{}) {
  const std::string head = "POST /look/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r\r\n";
  struct Case {
    std::string bytes;
    std::string status;
  };
  const std::vector<Case> cases = {
      {"what is this\r\n\r\n", "400"},
      {head + "X-Long: " + std::string(5000, 'x') + "\r\n\r\n", "431"},
      {head + "Content-Length: 200000\r\n\r\n", "413"},
      {head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
      {head + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabc", "400"},
      {"POST /look/1 HTTP/1.1\r\nHost: h", "408"},
  };
  for (const Case& each : cases) {
    const std::string answer =
        co_await exchangeRaw(fixture, each.bytes, std::chrono::milliseconds(700));
    cr_assert(answer.starts_with("HTTP/1.1 " + each.status), "expected %s, got: %s",
              each.status.c_str(), answer.substr(0, 40).c_str());
  }
  const auto outcome = co_await fixture.call(0, fixture.lookupRequest("after"));
  cr_assert_eq(outcome.response.result_int(), 200U);
}

GATEWAY_TEST(forwarding, a_chunked_body_is_forwarded_completely, test::FixtureOptions{}) {
  co_await exchangeRaw(fixture,
                       "POST /look/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
                       std::chrono::milliseconds(200));
  cr_assert_eq(arrivals(fixture), 1U);
  const auto& arrival = fixture.lookup(0).arrivals().empty() ? fixture.lookup(1).arrivals()[0]
                                                             : fixture.lookup(0).arrivals()[0];
  cr_assert_eq(arrival.body, "abcde");
}

GATEWAY_TEST(streams, a_broken_stream_is_resumed_at_another_engine_without_gap_or_repeat,
             test::FixtureOptions{}) {
  fixture.model(0).script().push_back(SamplerAct::kCutShort);
  fixture.model(1).script().push_back(SamplerAct::kCutShort);
  const auto outcome = co_await fixture.call(0, fixture.lookupRequest("s", "/talk/1"));
  std::string wanted;
  for (int i = 1; i <= 10; ++i) {
    wanted += "id: " + std::to_string(i) + "\ndata: s." + std::to_string(i) + "\n\n";
  }
  cr_assert_eq(outcome.status, http::ExchangeStatus::kOk);
  cr_assert_eq(outcome.response.body(), wanted, "got %s", outcome.response.body().c_str());
  cr_assert_eq(http::fieldText(outcome.response, "Response-Signature"), "s-s");
}

GATEWAY_TEST(streams, a_broken_stream_that_cannot_be_resumed_does_not_look_complete,
             test::FixtureOptions{}) {
  fixture.model(0).script().push_back(SamplerAct::kCutShort);
  fixture.model(1).script().push_back(SamplerAct::kCutShort);
  const auto outcome = co_await fixture.call(0, fixture.lookupRequest("s", "/say/1"));
  cr_assert_neq(outcome.status, http::ExchangeStatus::kOk);
  cr_assert_eq(fixture.model(0).arrivals().size() + fixture.model(1).arrivals().size(), 1U);
}

GATEWAY_TEST(stopping, a_stopping_daemon_is_not_ready_but_finishes_open_requests,
             test::FixtureOptions{}) {
  fixture.gateway().stop();
  cr_assert_not(fixture.gateway().ready());
  const auto outcome = co_await fixture.call(0, fixture.lookupRequest("r1"));
  cr_assert_eq(outcome.response.result_int(), 200U, "a stopping daemon must still serve requests");
  cr_assert_eq(http::fieldText(outcome.response, "Connection"), "close");
}
