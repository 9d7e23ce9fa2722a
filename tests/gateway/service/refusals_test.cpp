/// @file
/// End-to-end tests of the promise of a refusal (408, 421, 429, 503): the request was not executed
/// and never will be.

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
