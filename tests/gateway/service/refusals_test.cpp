/// @file
/// End-to-end tests of the promise of a refusal (408, 421, 429, 503): the request was not executed
/// and never will be.

#include <boost/asio/write.hpp>
#include <set>

#include "support/gateway_fixture.h"

using namespace linenpier;
using test::GatewayFixture;
using test::SamplerAct;
using test::StandinSampler;

namespace {

/// Time after which an engine that failed once gets requests again.
constexpr Duration kBackoff = std::chrono::milliseconds(900);

/// @return whether the status promises that the request was not executed.
bool isRefusal(unsigned status) {
  return std::set<unsigned>{408, 421, 429, 503}.contains(status);
}

bool anyRan(const std::vector<test::SamplerArrival>& arrivals) {
  return std::any_of(arrivals.begin(), arrivals.end(), [](const auto& each) { return each.ran; });
}

/// Sends a request whose attempts end with both of the acts, in an order that depends on the engine
/// that is selected first.
Task<unsigned> callWithActs(GatewayFixture& fixture, std::string path, SamplerAct first,
                            SamplerAct second) {
  const std::vector<std::pair<StandinSampler*, SamplerAct>> acts = {{&fixture.lookup(0), first},
                                                                    {&fixture.model(0), first},
                                                                    {&fixture.lookup(1), second},
                                                                    {&fixture.model(1), second}};
  for (const auto& [engine, act] : acts) engine->script().assign(3, act);
  http::Request request = fixture.lookupRequest("r", path);
  request.set("Deadline-Ms", "500");
  const auto outcome = co_await fixture.call(0, std::move(request));
  for (const auto& [engine, act] : acts) engine->script().clear();
  co_await sleepFor(fixture.loop(), kBackoff);
  co_return outcome.response.result_int();
}

/// Connection of a client that writes a request in parts.
struct SlowClient {
  explicit SlowClient(GatewayFixture& fixture) : pool(fixture.loop(), {}) {}

  Task<bool> connect(Address address) {
    connection = co_await pool.connect(address, steadyNow() + std::chrono::seconds(1));
    co_return connection != nullptr;
  }
  Task<void> write(std::string bytes) {
    boost::system::error_code error;
    co_await boost::asio::async_write(
        connection->stream, boost::asio::buffer(bytes),
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
  }
  /// @return the bytes that arrive next; empty if the connection ends or nothing arrives.
  Task<std::string> read() {
    std::string bytes(4096, '\0');
    boost::system::error_code error;
    connection->stream.expires_after(std::chrono::seconds(1));
    const std::size_t received = co_await connection->stream.async_read_some(
        boost::asio::buffer(bytes), boost::asio::redirect_error(boost::asio::use_awaitable, error));
    bytes.resize(error ? 0 : received);
    co_return bytes;
  }

  http::ConnectionPool pool;
  http::ClientConnectionPtr connection;
};

}  // namespace

// Guards against forwarding an engine's failure as a promise that only Not-Executed gives.
GATEWAY_TEST(refusals, a_status_of_an_engine_that_executed_the_request_is_not_forwarded_as_refusal,
             test::FixtureOptions{}) {
  for (const unsigned status : {503U, 429U, 408U}) {
    for (const std::string path : {"/once/1", "/look/1", "/say/1", "/talk/1"}) {
      const std::vector<StandinSampler*> engines = {&fixture.lookup(0), &fixture.lookup(1),
                                                    &fixture.model(0), &fixture.model(1)};
      for (StandinSampler* engine : engines) {
        engine->setRefusalStatus(status);
        engine->script().assign(3, SamplerAct::kSignedRefusal);
      }
      const std::string id = "r" + std::to_string(status) + path.substr(1, 3);
      const auto outcome = co_await fixture.call(0, fixture.lookupRequest(id, path));
      const unsigned answered = outcome.response.result_int();
      cr_assert_eq(answered, 502U, "%s: the engine's %u was answered with %u", path.c_str(), status,
                   answered);
      cr_assert(http::fieldText(outcome.response, "Response-Signature").empty());
      for (StandinSampler* engine : engines) engine->script().clear();
      co_await sleepFor(fixture.loop(), kBackoff);
    }
  }
}

// Guards against taking a repeated response to an earlier attempt for that to a later one.
GATEWAY_TEST(refusals, a_response_to_an_earlier_attempt_does_not_refuse_a_later_one,
             test::FixtureOptions{}) {
  for (const std::string path : {"/say/1", "/talk/1"}) {
    for (const std::size_t index : {0U, 1U}) {
      fixture.model(index).script() = {SamplerAct::kShedTwice};
      fixture.model(index).takeArrivals();
    }
    const std::string id = "r" + path.substr(1, 3);
    const auto outcome = co_await fixture.call(0, fixture.lookupRequest(id, path));
    const unsigned status = outcome.response.result_int();
    std::vector<test::SamplerArrival> arrivals = fixture.model(0).takeArrivals();
    for (auto& each : fixture.model(1).takeArrivals()) arrivals.push_back(std::move(each));
    cr_assert_eq(arrivals.size(), 3U);
    cr_assert(anyRan(arrivals));
    cr_assert_not(isRefusal(status), "%s: executed, and answered with %u", path.c_str(), status);
    cr_assert_eq(status, 200U);
  }
}

// Guards against taking a repeated response to an attempt at an engine that is gone for that of the
// engine that has its address now.
GATEWAY_TEST(refusals, a_response_for_a_former_engine_of_an_address_does_not_refuse_a_request,
             test::FixtureOptions{}) {
  StandinSampler& engine = fixture.lookup(0);
  fixture.store().remove("servers", fixture.lookup(1).id());
  // Which engine is asked first is drawn at random.
  int executed = 0;
  for (int i = 0; i < 40 && executed < 4; ++i) {
    const std::string former = "former-" + std::to_string(i);
    fixture.store().put("servers", former, engine.entry("desk"));
    co_await sleepFor(fixture.loop(), std::chrono::milliseconds(200));
    engine.script() = {SamplerAct::kShedTwice};
    const auto outcome =
        co_await fixture.call(0, fixture.lookupRequest("r" + std::to_string(i), "/once/1"));
    const unsigned status = outcome.response.result_int();
    if (anyRan(engine.takeArrivals())) {
      ++executed;
      cr_assert_not(isRefusal(status), "executed, and answered with %u", status);
    }
    engine.script().clear();
    fixture.store().remove("servers", former);
  }
  cr_assert_gt(executed, 0, "no request went to the former engine first");
}

// Guards against a reply that is made from the last attempt alone.
GATEWAY_TEST(refusals, a_rejection_after_an_attempt_that_may_have_run_is_not_a_refusal,
             test::FixtureOptions{}) {
  for (const std::string path : {"/look/1", "/talk/1"}) {
    for (const bool swapped : {false, true}) {
      const SamplerAct lost = swapped ? SamplerAct::kShed : SamplerAct::kClose;
      const SamplerAct shed = swapped ? SamplerAct::kClose : SamplerAct::kShed;
      const unsigned status = co_await callWithActs(fixture, path, lost, shed);
      cr_assert_eq(status, 502U, "%s: got %u", path.c_str(), status);
    }
  }
}

// Guards against a refusal while a silent attempt, hedged or not, may still be executed.
GATEWAY_TEST(refusals, a_rejected_hedge_of_a_silent_attempt_is_not_a_refusal,
             test::FixtureOptions{}) {
  for (const bool swapped : {false, true}) {
    const SamplerAct silent = swapped ? SamplerAct::kShed : SamplerAct::kSilent;
    const SamplerAct shed = swapped ? SamplerAct::kSilent : SamplerAct::kShed;
    const unsigned status = co_await callWithActs(fixture, "/look/1", silent, shed);
    cr_assert_eq(status, 504U, "got %u", status);
  }
}

// Guards against executing a request whose header was answered with 408.
GATEWAY_TEST(refusals, a_request_that_is_completed_after_its_408_is_not_executed,
             test::FixtureOptions{}) {
  SlowClient client(fixture);
  const Address address = fixture.gateway().requestAddress();
  const bool connected = co_await client.connect(address);
  cr_assert(connected);
  std::string head =
      "POST /once/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r\r\nContent-Length: 4\r\n";
  co_await client.write(std::move(head));
  const std::string answer = co_await client.read();
  cr_assert(answer.starts_with("HTTP/1.1 408"), "got %s", answer.c_str());
  std::string rest = "\r\nbody";
  co_await client.write(std::move(rest));
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(300));
  cr_assert(fixture.lookup(0).arrivals().empty());
  cr_assert(fixture.lookup(1).arrivals().empty());
}

// Guards against refusing a request in progress when the daemon stops.
GATEWAY_TEST(refusals, a_request_in_progress_is_not_refused_by_a_stop, test::FixtureOptions{}) {
  fixture.model(0).setEventGap(std::chrono::milliseconds(350));
  fixture.model(1).setEventGap(std::chrono::milliseconds(350));
  const auto done = std::make_shared<std::optional<unsigned>>();
  spawn(fixture.loop(), [&fixture, done]() -> Task<void> {
    http::Request request = fixture.lookupRequest("r", "/say/1");
    request.set("Deadline-Ms", "5000");
    const auto outcome = co_await fixture.call(0, std::move(request));
    *done = outcome.status == http::ExchangeStatus::kOk ? outcome.response.result_int() : 0;
  });
  const bool arrived = co_await fixture.waitFor([&fixture] {
    return !fixture.model(0).arrivals().empty() || !fixture.model(1).arrivals().empty();
  });
  cr_assert(arrived);
  fixture.gateway().stop();
  const bool ended = co_await fixture.waitFor([done] { return done->has_value(); });
  cr_assert(ended);
  cr_assert_eq(**done, 200U, "got %u", **done);
}
