#pragma once

/// @file
/// One or more gateways on one event loop, with a stand-in store and stand-in samplers. Test code.

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

/// A gateway with what belongs to it.
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
  int events = 10;                                  ///< Of a model sampler's stream.
  std::optional<Duration> keep_jobs;                ///< Until an ended job may be removed.
  std::optional<usage::usage_options> usage;        ///< Absent: the platform has no duties.
  std::optional<scaling::scaling_options> scaling;  ///< Absent: no number of engines is ordered.
  std::string scaling_bounds;   ///< Of the service with models, as JSON; empty: none.
  bool tokens_checked = false;  ///< By whom orders and duties reach.
  std::string tenants;          ///< Of the configuration, as its list; empty: none.
  double cold_per_second = 0;   ///< That a model sampler bears; 0: no bound.
  engines::cold_limit_options cold;
  std::vector<std::string> zones;  ///< Of the gateways, by index; absent: "z".
  fleet::fleet_layout layout;
  std::vector<std::string> model_zones;  ///< Of the model samplers, by index; absent: "z".
  std::string job_fields;                ///< Of the route of jobs, added to its others.
  std::string reward_fields;             ///< Of the route of reward requests, likewise.
};

/// @return options for two gateways before samplers whose streams have so many events.
FixtureOptions twoGateways(int events);
/// @return the request that ends a job.
http::Request endRequest(const std::string& id);

class GatewayFixture {
 public:
  explicit GatewayFixture(FixtureOptions options = {});

  /// Runs `test` on the loop and stops it afterwards; fails the test if that takes too long.
  void run(std::function<Task<void>(GatewayFixture&)> test);

  boost::asio::io_context& loop() { return loop_; }
  StandinStore& store() { return *store_; }
  StandinDuties& duties() { return *duties_; }
  StandinSampler& lookup(std::size_t index) { return *lookups_.at(index); }
  StandinSampler& model(std::size_t index) { return *models_.at(index); }
  gateway::Gateway& gateway(std::size_t index = 0) { return gateways_.at(index)->gateway; }
  /// From now on the gateway reaches no store.
  void cutFromStore(std::size_t index) {
    gateways_.at(index)->platform.store().setAddress({0x7f000001, 1});
  }
  /// From now on the gateway asks another store.
  void moveToStore(std::size_t index, const Address& store) {
    gateways_.at(index)->platform.store().setAddress(store);
  }
  /// The platform's service for duties is elsewhere from now on.
  void moveDuties(std::size_t index, const Address& address) {
    gateways_.at(index)->platform.setAddresses(store_->address(), address);
  }
  /// The gateway reaches the store again.
  void joinToStore(std::size_t index) {
    gateways_.at(index)->platform.store().setAddress(store_->address());
  }
  void addGateway(const std::string& name);

  void putConfiguration(std::uint64_t version, const std::string& more_routes = "");
  void putSamplers();
  /// Requests with the mark in their bodies end the sampler that begins to run them.
  void setFatal(const FatalRequests& fatal);
  /// @return how often samplers have ended, in all.
  int samplersEnded() const;
  /// Of the configurations that are put from now on.
  void setTenants(const std::string& tenants) { options_.tenants = tenants; }
  /// The same, such as `,"allowedRegions":["a"]`.
  void setRouteFields(const std::string& jobs, const std::string& rewards = "") {
    options_.job_fields = jobs;
    options_.reward_fields = rewards;
  }
  /// The key of `readAll`.
  void setClientKey(const std::string& key) { client_key_ = key; }

  /// Sends a request to a gateway and reads the whole answer.
  Task<http::CallOutcome> call(std::size_t gateway, http::Request request);
  /// @return what the gateway tells a collector of metrics.
  Task<std::string> metricsPage(std::size_t gateway);
  http::Request lookupRequest(const std::string& id, const std::string& path = "/look/1") const;
  /// @return the request that hands in a job of `items` items.
  http::Request jobRequest(const std::string& id, int items) const;
  /// @return the same, each item with a scorer whose id is the item's after "r-".
  http::Request scoredJobRequest(const std::string& id, int items) const;
  /// Reads a job's results until all are listed.
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

/// Runs `body` on a fixture that is never destroyed: its tasks hold references to each other, and
/// the process of the test ends anyway.
inline void runOnFixture(const linenpier::test::FixtureOptions& options,
                         linenpier::Task<void> (*body)(linenpier::test::GatewayFixture&)) {
  auto* fixture = new linenpier::test::GatewayFixture(options);
  fixture->run(body);
}

/// A test whose body is a task of the fixture's loop. (A task within Criterion's own function does
/// not compile: GCC gives its parts the same symbol.)
#define GATEWAY_TEST(suite, name, options)                                                      \
  static linenpier::Task<void> suite##_##name##_body(linenpier::test::GatewayFixture& fixture); \
  Test(suite, name) {                                                                           \
    runOnFixture(options, suite##_##name##_body);                                               \
  }                                                                                             \
  static linenpier::Task<void> suite##_##name##_body(linenpier::test::GatewayFixture& fixture)
