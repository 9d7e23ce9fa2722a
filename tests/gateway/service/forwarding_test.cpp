/// @file
/// Requests through a whole gateway, against a stand-in store and samplers that break the protocol.

#include <boost/asio/write.hpp>

#include "support/gateway_fixture.h"

using namespace linenpier;
using test::GatewayFixture;
using test::SamplerAct;

namespace {

std::size_t arrivals(GatewayFixture& fixture) {
  return fixture.lookup(0).arrivals().size() + fixture.lookup(1).arrivals().size();
}

/// Both samplers answer the next request like this.
void scriptBoth(GatewayFixture& fixture, SamplerAct act) {
  fixture.lookup(0).script().push_back(act);
  fixture.lookup(1).script().push_back(act);
}

/// Sends bytes as they are and reads until the connection ends or rests.
Task<std::string> exchangeRaw(GatewayFixture& fixture, std::string bytes, Duration rest) {
  http::ConnectionPool pool(fixture.loop(), {});
  const Address address = fixture.gateway().requestAddress();
  const auto connection = co_await pool.connect(address, steadyNow() + std::chrono::seconds(1));
  boost::system::error_code error;
  co_await boost::asio::async_write(connection->stream, boost::asio::buffer(bytes),
                                    boost::asio::redirect_error(boost::asio::use_awaitable, error));
  std::string answer;
  char piece[4096];
  for (;;) {
    connection->stream.expires_after(rest);
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

GATEWAY_TEST(forwarding, spoilt_answers_of_every_kind_are_replaced_by_another_engines,
             test::FixtureOptions{}) {
  const std::vector<SamplerAct> acts = {SamplerAct::kCutShort, SamplerAct::kNonsense,
                                        SamplerAct::kUnsigned, SamplerAct::kClose,
                                        SamplerAct::kFail,     SamplerAct::kShed};
  int number = 0;
  for (const SamplerAct act : acts) {
    const std::string id = "r" + std::to_string(++number);
    // Only the first engine that is asked misbehaves.
    scriptBoth(fixture, act);
    fixture.lookup(0).script().push_back(SamplerAct::kAnswer);
    const std::size_t before = arrivals(fixture);
    auto outcome = co_await fixture.call(0, fixture.lookupRequest(id));
    const bool both_failed = outcome.response.result_int() != 200;
    if (both_failed) {
      cr_assert(outcome.response.body() != "answer to " + id || act == SamplerAct::kFail);
    }
    cr_assert(arrivals(fixture) - before <= 2, "at most two engines");
    fixture.lookup(0).script().clear();
    fixture.lookup(1).script().clear();
    // Engines that were left alone come back.
    co_await sleepFor(fixture.loop(), std::chrono::milliseconds(900));
    outcome = co_await fixture.call(0, fixture.lookupRequest(id + "again"));
    cr_assert_eq(outcome.response.body(), "answer to " + id + "again", "after act %d", number);
  }
}

GATEWAY_TEST(forwarding, a_surplus_answer_never_belongs_to_another_request,
             test::FixtureOptions{}) {
  for (int i = 0; i < 12; ++i) {
    scriptBoth(fixture, i % 2 == 0 ? SamplerAct::kExtraAfter : SamplerAct::kSurplusFirst);
    const std::string id = "r" + std::to_string(i);
    const auto outcome = co_await fixture.call(0, fixture.lookupRequest(id));
    cr_assert_eq(outcome.response.body(), "answer to " + id);
    fixture.lookup(0).script().clear();
    fixture.lookup(1).script().clear();
  }
}

GATEWAY_TEST(forwarding, an_answer_that_ends_with_its_connection_is_whole, test::FixtureOptions{}) {
  scriptBoth(fixture, SamplerAct::kUnframed);
  const auto outcome = co_await fixture.call(0, fixture.lookupRequest("r1"));
  cr_assert_eq(outcome.response.result_int(), 200U);
  cr_assert_eq(outcome.response.body(), "answer to r1");
}

GATEWAY_TEST(forwarding, a_request_that_may_run_once_reaches_one_engine_and_is_not_refused_after,
             test::FixtureOptions{}) {
  scriptBoth(fixture, SamplerAct::kClose);
  auto outcome = co_await fixture.call(0, fixture.lookupRequest("r1", "/once/1"));
  cr_assert_eq(outcome.response.result_int(), 502U, "it may have run: no promise");
  cr_assert_eq(arrivals(fixture), 1U);
  fixture.lookup(0).script().clear();
  fixture.lookup(1).script().clear();
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(900));
  scriptBoth(fixture, SamplerAct::kShed);
  outcome = co_await fixture.call(0, fixture.lookupRequest("r2", "/once/1"));
  cr_assert_eq(outcome.response.result_int(), 503U, "both said that they did not run it");
  cr_assert(!http::fieldText(outcome.response, "Retry-After").empty());
  cr_assert_eq(arrivals(fixture), 3U);
}

GATEWAY_TEST(forwarding, the_engines_own_failure_of_a_request_that_may_run_once_is_passed_on,
             test::FixtureOptions{}) {
  scriptBoth(fixture, SamplerAct::kFail);
  const auto outcome = co_await fixture.call(0, fixture.lookupRequest("r1", "/once/1"));
  cr_assert_eq(outcome.response.result_int(), 500U);
  cr_assert_eq(http::fieldText(outcome.response, "Response-Signature"), "s-r1");
  cr_assert_eq(outcome.response.body(), "failed");
}

GATEWAY_TEST(forwarding, silence_is_answered_at_the_deadline, test::FixtureOptions{}) {
  scriptBoth(fixture, SamplerAct::kSilent);
  http::Request request = fixture.lookupRequest("r1");
  request.set("Deadline-Ms", "300");
  const Instant begun = steadyNow();
  const auto outcome = co_await fixture.call(0, std::move(request));
  const Duration took = steadyNow() - begun;
  cr_assert_eq(outcome.response.result_int(), 504U);
  cr_assert(took >= std::chrono::milliseconds(290) && took < std::chrono::milliseconds(700));
}

GATEWAY_TEST(forwarding, the_clients_close_stops_the_engines_work, test::FixtureOptions{}) {
  scriptBoth(fixture, SamplerAct::kSilent);
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
  cr_assert_eq(outcome.response.result_int(), 503U, "it may be new");
  outcome = co_await fixture.call(0, fixture.lookupRequest("r3"));
  cr_assert_eq(outcome.response.result_int(), 200U, "known routes are served without the store");
}

GATEWAY_TEST(forwarding, a_new_configuration_is_in_force_at_once_and_an_old_one_never_again,
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

GATEWAY_TEST(forwarding, a_configuration_that_is_wrong_changes_nothing, test::FixtureOptions{}) {
  fixture.store().put("op", "config", "{\"version\":50,\"routes\":[{}]}");
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(150));
  const auto outcome = co_await fixture.call(0, fixture.lookupRequest("r1"));
  cr_assert_eq(outcome.response.result_int(), 200U);
}

GATEWAY_TEST(forwarding, engines_that_drain_or_are_gone_get_nothing_new_also_after_a_lost_history,
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

GATEWAY_TEST(forwarding, bad_requests_get_a_clear_answer_and_the_daemon_lives,
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
    cr_assert(answer.starts_with("HTTP/1.1 " + each.status), "%s wanted, got: %s",
              each.status.c_str(), answer.substr(0, 40).c_str());
  }
  const auto outcome = co_await fixture.call(0, fixture.lookupRequest("after"));
  cr_assert_eq(outcome.response.result_int(), 200U);
}

GATEWAY_TEST(forwarding, a_chunked_body_arrives_whole, test::FixtureOptions{}) {
  co_await exchangeRaw(fixture,
                       "POST /look/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
                       std::chrono::milliseconds(200));
  cr_assert_eq(arrivals(fixture), 1U);
  const auto& arrival = fixture.lookup(0).arrivals().empty() ? fixture.lookup(1).arrivals()[0]
                                                             : fixture.lookup(0).arrivals()[0];
  cr_assert_eq(arrival.body, "abcde");
}

GATEWAY_TEST(streams, a_broken_stream_goes_on_at_another_engine_without_gap_or_repeat,
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

GATEWAY_TEST(streams, a_broken_stream_that_may_not_go_on_does_not_look_complete,
             test::FixtureOptions{}) {
  fixture.model(0).script().push_back(SamplerAct::kCutShort);
  fixture.model(1).script().push_back(SamplerAct::kCutShort);
  const auto outcome = co_await fixture.call(0, fixture.lookupRequest("s", "/say/1"));
  cr_assert_neq(outcome.status, http::ExchangeStatus::kOk);
  cr_assert_eq(fixture.model(0).arrivals().size() + fixture.model(1).arrivals().size(), 1U);
}

GATEWAY_TEST(stopping, a_stopping_daemon_is_not_ready_but_finishes_what_it_has,
             test::FixtureOptions{}) {
  fixture.gateway().stop();
  cr_assert_not(fixture.gateway().ready());
  const auto outcome = co_await fixture.call(0, fixture.lookupRequest("r1"));
  cr_assert_eq(outcome.response.result_int(), 200U, "until the platform sends nobody new");
  cr_assert_eq(http::fieldText(outcome.response, "Connection"), "close");
}
