#pragma once

/// @file
/// Runs gateways, a stand-in store and stand-in samplers on one event loop. Test code.

#include <functional>
#include <memory>
#include <vector>

#include "gateway/service/gateway.h"
#include "platform.h"
#include "support/standin_duties.h"
#include "support/standin_sampler.h"
#include "support/standin_store.h"

// Criterion's macros clash with Boost's headers that come after it.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

namespace linenpier::test {

/// A gateway with the objects that it depends on.
struct GatewayUnderTest {
  GatewayUnderTest(boost::asio::io_context& loop, const gateway::GatewaySettings& settings);

  http::ConnectionPool store_pool;
  http::ConnectionPool engine_pool;
  platform_adapter::Platform platform;
  metrics::GatewayMetrics metrics;
  gateway::Gateway gateway;
};

/// @return settings of a gateway on free ports of this host.
gateway::GatewaySettings settingsOf(Address store, const std::string& name,
                                    std::vector<Address> seeds);

struct FixtureOptions {
  int gateways = 1;
  int lookup_samplers = 2;
  int model_samplers = 2;
  int events = 10;                            ///< Number of events in a model sampler's stream.
  std::optional<Duration> keep_jobs;          ///< Retention time of ended jobs.
  std::optional<usage::usage_options> usage;  ///< Absent: no usage reports.
  std::optional<scaling::scaling_options> scaling;  ///< Absent: no scaling.
  std::string scaling_bounds;   ///< Scaling bounds of the model service, as JSON; empty: none.
  bool tokens_checked = false;  ///< Whether the receivers of orders and reports check tokens.
  std::string tenants;          ///< Tenant list of the configuration, as JSON; empty: none.
  double cold_per_second = 0;   ///< Request rate limit of a cold model sampler; 0: none.
  engines::cold_limit_options cold;
  std::vector<std::string> zones;  ///< Zones of the gateways, by index; absent: "z".
  fleet::fleet_layout layout;
  std::vector<std::string> model_zones;     ///< Zones of the model samplers, by index; absent: "z".
  std::vector<std::string> model_services;  ///< Services of the model samplers; absent: "models".
  std::string more_services;                ///< Additional services, as JSON; empty: none.
  /// Services of the job route, as JSON fields.
  std::string job_services = R"("service":"models")";
  std::string job_fields;                ///< Additional fields of the job route.
  std::string reward_fields;             ///< Additional fields of the reward route.
  std::size_t max_body_bytes = 100'000;  ///< Largest request body that the configuration allows.
};

/// @return options for two gateways and samplers whose streams have `events` events.
FixtureOptions twoGateways(int events);
/// @return the request that ends a job.
http::Request endRequest(const std::string& id);

class GatewayFixture {
 public:
  explicit GatewayFixture(FixtureOptions options = {});

  /// Runs `test` on the loop and stops the loop afterwards. Fails the test on a timeout.
  void run(std::function<Task<void>(GatewayFixture&)> test);

  boost::asio::io_context& loop() { return loop_; }
  StandinStore& store() { return *store_; }
  StandinDuties& duties() { return *duties_; }
  StandinSampler& lookup(std::size_t index) { return *lookups_.at(index); }
  StandinSampler& model(std::size_t index) { return *models_.at(index); }
  gateway::Gateway& gateway(std::size_t index = 0) { return gateways_.at(index)->gateway; }
  /// Makes the store unreachable for the gateway.
  void cutFromStore(std::size_t index) {
    gateways_.at(index)->platform.store().setAddress({0x7f000001, 1});
  }
  /// Connects the gateway to another store.
  void moveToStore(std::size_t index, const Address& store) {
    gateways_.at(index)->platform.store().setAddress(store);
  }
  /// Changes the address of the platform's usage and scaling service.
  void moveDuties(std::size_t index, const Address& address) {
    gateways_.at(index)->platform.setAddresses(store_->address(), address);
  }
  /// Makes the store reachable again for the gateway.
  void reconnectToStore(std::size_t index) {
    gateways_.at(index)->platform.store().setAddress(store_->address());
  }
  void addGateway(const std::string& name);

  void putConfiguration(std::uint64_t version, const std::string& more_routes = "");
  void putSamplers();
  /// Makes requests with the mark in their bodies crash the samplers that execute them.
  void setFatal(const FatalRequests& fatal);
  /// @return the total number of sampler crashes.
  int samplerCrashes() const;
  /// Sets the tenants of subsequent configurations.
  void setTenants(const std::string& tenants) { options_.tenants = tenants; }
  /// Sets the job route's fields in subsequent configurations, such as `,"allowedRegions":["a"]`.
  void setRouteFields(const std::string& jobs, const std::string& rewards = "") {
    options_.job_fields = jobs;
    options_.reward_fields = rewards;
  }
  /// Sets the services of the job route in subsequent configurations, as JSON fields.
  void setJobServices(const std::string& services) { options_.job_services = services; }
  /// Sets the API key that `readAll` uses.
  void setClientKey(const std::string& key) { client_key_ = key; }

  /// Sends a request to a gateway and reads the complete response.
  Task<http::CallOutcome> call(std::size_t gateway, http::Request request);
  /// @return the response of the gateway's metrics endpoint.
  Task<std::string> metricsPage(std::size_t gateway);
  /// @return the value of a metric without labels. Fails the test if there is none.
  Task<std::uint64_t> metric(std::size_t gateway, std::string name);
  http::Request lookupRequest(const std::string& id, const std::string& path = "/look/1") const;
  /// @return a request that submits a job of `items` items.
  http::Request jobRequest(const std::string& id, int items) const;
  /// @return the same, with a reward request for each item whose id is "r-" and the item's id.
  http::Request scoredJobRequest(const std::string& id, int items) const;
  /// Reads a job's results until they are complete.
  Task<std::string> readAll(std::size_t gateway, std::string id);
  Task<bool> waitReady(std::size_t gateway);
  Task<bool> waitFor(std::function<bool()> condition, Duration limit = std::chrono::seconds(5));

 private:
  boost::asio::io_context loop_{1};
  http::ConnectionPool client_pool_{loop_, {}};
  FixtureOptions options_;
  std::string client_key_;
  std::unique_ptr<StandinStore> store_;
  std::unique_ptr<StandinDuties> duties_;
  std::vector<std::unique_ptr<StandinSampler>> lookups_;
  std::vector<std::unique_ptr<StandinSampler>> models_;
  std::vector<std::unique_ptr<GatewayUnderTest>> gateways_;
};

}  // namespace linenpier::test

/// Runs `body` on a fixture that is never destroyed, as its tasks refer to each other. Each test
/// runs in its own process.
inline void runOnFixture(const linenpier::test::FixtureOptions& options,
                         linenpier::Task<void> (*body)(linenpier::test::GatewayFixture&)) {
  auto* fixture = new linenpier::test::GatewayFixture(options);
  fixture->run(body);
}

/// Defines a test whose body is a coroutine on the fixture's loop. The body is a separate function,
/// as GCC emits duplicate symbols for a coroutine within Criterion's test function.
#define GATEWAY_TEST(suite, name, options)                                                      \
  static linenpier::Task<void> suite##_##name##_body(linenpier::test::GatewayFixture& fixture); \
  Test(suite, name) {                                                                           \
    runOnFixture(options, suite##_##name##_body);                                               \
  }                                                                                             \
  static linenpier::Task<void> suite##_##name##_body(linenpier::test::GatewayFixture& fixture)
