/// @file
/// End-to-end tests of batch jobs whose route is split between services.

#include "support/gateway_fixture.h"

using namespace linenpier;
using test::GatewayFixture;

namespace {

/// Slots of a stand-in engine.
constexpr std::size_t kSlots = 8;
constexpr Duration kEventGap = std::chrono::milliseconds(40);

std::string service(const std::string& name, const std::string& model = "m") {
  return R"(,{"name":")" + name +
         R"(","engine":{"slots":8,"kvCacheTokens":50000,"models":[{"name":")" + model + R"("}]}})";
}

std::string part(const std::string& name, int weight) {
  return R"({"service":")" + name + R"(","weight":)" + std::to_string(weight) + "}";
}

std::string split(const std::string& parts) {
  return R"("trafficSplit":[)" + parts + "]";
}

/// @param services services of the model engines.
test::FixtureOptions splitBetween(const std::string& parts, std::vector<std::string> services) {
  test::FixtureOptions options = test::twoGateways(10);
  options.model_samplers = static_cast<int>(services.size());
  options.model_services = std::move(services);
  options.more_services = service("second") + service("empty") + service("other", "n");
  options.job_services = split(parts);
  return options;
}

/// The first service of the route has engines only in a region that is not allowed.
test::FixtureOptions firstServiceElsewhere() {
  test::FixtureOptions options =
      splitBetween(part("models", 90) + "," + part("second", 10), {"models", "second"});
  options.zones = {"z", "z"};
  options.model_zones = {"y", "z"};
  options.layout = fleet::fleet_layout(
      {{ZoneName("z"), RegionName("near")}, {ZoneName("y"), RegionName("far")}});
  options.job_fields = R"(,"allowedRegions":["near"])";
  return options;
}

/// Submits a job and waits until it is complete. @return the number of runs by engine.
Task<std::vector<std::size_t>> runJob(GatewayFixture& fixture, std::string id, int items,
                                      std::size_t engines) {
  std::vector<std::size_t> before;
  for (std::size_t i = 0; i < engines; ++i) {
    fixture.model(i).setEventGap(kEventGap);
    before.push_back(fixture.model(i).arrivals().size());
  }
  const auto accepted = co_await fixture.call(0, fixture.jobRequest(id, items));
  cr_assert_eq(accepted.response.result_int(), 202U);
  co_await fixture.readAll(1, id);
  std::vector<std::size_t> runs;
  for (std::size_t i = 0; i < engines; ++i)
    runs.push_back(fixture.model(i).arrivals().size() - before[i]);
  co_return runs;
}

}  // namespace

// Guards against items that all wait for the first service of a split route, whatever its weight.
GATEWAY_TEST(split_jobs, items_use_all_services_of_the_route,
             splitBetween(part("second", 10) + "," + part("models", 90),
                          {"models", "models", "models", "second"})) {
  const auto runs = co_await runJob(fixture, "job", 64, 4);
  cr_expect_geq(runs[0] + runs[1] + runs[2], 45U, "%zu, %zu, %zu of 64", runs[0], runs[1], runs[2]);
  cr_expect_geq(runs[3], 1U);
}

// Guards against shares that do not follow the weights although all services have room.
GATEWAY_TEST(split_jobs, the_shares_follow_the_weights_while_there_is_room,
             splitBetween(part("models", 25) + "," + part("second", 75), {"models", "second"})) {
  std::vector<std::size_t> total{0, 0};
  for (int i = 0; i < 10; ++i) {
    const auto runs = co_await runJob(fixture, "job" + std::to_string(i), 8, 2);
    total[0] += runs[0];
    total[1] += runs[1];
  }
  cr_expect_eq(total[0], 20U, "%zu and %zu of 80", total[0], total[1]);
  cr_expect_eq(total[1], 60U);
}

// Guards against items that wait for one of two equal services while the other has free slots.
GATEWAY_TEST(split_jobs, no_item_waits_while_a_service_has_room,
             splitBetween(part("second", 1) + "," + part("models", 1),
                          {"models", "models", "models", "second"})) {
  const auto accepted = co_await fixture.call(0, fixture.jobRequest("job", 64));
  cr_assert_eq(accepted.response.result_int(), 202U);
  for (std::size_t i = 0; i < 4; ++i) fixture.model(i).setEventGap(std::chrono::milliseconds(200));
  const std::function<bool()> all_full = [&fixture] {
    for (std::size_t i = 0; i < 4; ++i) {
      if (fixture.model(i).arrivals().size() < kSlots) return false;
    }
    return true;
  };
  const bool filled = co_await fixture.waitFor(all_full, std::chrono::seconds(1));
  cr_expect(filled, "%zu, %zu, %zu and %zu of 8 slots", fixture.model(0).arrivals().size(),
            fixture.model(1).arrivals().size(), fixture.model(2).arrivals().size(),
            fixture.model(3).arrivals().size());
}

// Guards against items that wait for a service without any engine.
GATEWAY_TEST(split_jobs, a_service_without_engines_delays_no_item,
             splitBetween(part("empty", 90) + "," + part("models", 5) + "," + part("second", 5),
                          {"models", "second"})) {
  const Instant begun = steadyNow();
  const auto runs = co_await runJob(fixture, "job", 32, 2);
  cr_expect_eq(runs[0] + runs[1], 32U);
  cr_expect(steadyNow() - begun < std::chrono::seconds(4));
}

// Guards against items that are sent to a service that lacks their model.
GATEWAY_TEST(split_jobs, a_service_without_the_model_gets_no_item,
             splitBetween(part("other", 90) + "," + part("models", 10), {"models", "other"})) {
  fixture.store().remove("servers", fixture.model(1).id());
  std::string entry = fixture.model(1).entry("other");
  const std::string listed = R"("name":"m")";
  entry.replace(entry.find(listed), listed.size(), R"("name":"n")");
  fixture.store().put("servers", fixture.model(1).id(), entry);
  co_await sleepFor(fixture.loop(), std::chrono::milliseconds(300));
  const auto runs = co_await runJob(fixture, "job", 16, 2);
  cr_expect_eq(runs[0], 16U);
  cr_expect_eq(runs[1], 0U);
}

// Guards against items that keep to the services of a route that is split while the job runs.
GATEWAY_TEST(split_jobs, a_route_that_is_split_during_a_job_uses_the_new_services,
             splitBetween(part("models", 1), {"models", "second"})) {
  for (std::size_t i = 0; i < 2; ++i) fixture.model(i).setEventGap(kEventGap);
  const auto accepted = co_await fixture.call(0, fixture.jobRequest("job", 40));
  cr_assert_eq(accepted.response.result_int(), 202U);
  const bool running =
      co_await fixture.waitFor([&fixture] { return fixture.model(0).arrivals().size() == kSlots; });
  cr_assert(running);
  fixture.setJobServices(split(part("models", 1) + "," + part("second", 1)));
  fixture.putConfiguration(4);
  co_await fixture.readAll(1, "job");
  cr_expect_geq(fixture.model(1).arrivals().size(), 10U);
  cr_expect_eq(fixture.model(0).arrivals().size() + fixture.model(1).arrivals().size(), 40U);
}

// Guards against items that wait for a service none of whose engines is in an allowed region.
GATEWAY_TEST(split_jobs, a_service_outside_the_allowed_regions_delays_no_item,
             firstServiceElsewhere()) {
  const auto runs = co_await runJob(fixture, "job", 16, 2);
  cr_expect_eq(runs[0], 0U);
  cr_expect_eq(runs[1], 16U);
}
