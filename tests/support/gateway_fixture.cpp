#include "support/gateway_fixture.h"

#include <nlohmann/json.hpp>

#include "base64.h"

namespace linenpier::test {

using nlohmann::json;

namespace {

constexpr Duration kMaxTest = std::chrono::seconds(25);

}  // namespace

gateway::GatewaySettings settingsOf(Address store, const std::string& name,
                                    std::vector<Address> seeds) {
  gateway::GatewaySettings settings;
  settings.id = DaemonId(name);
  settings.zone = ZoneName("z");
  settings.request_address = {0x7f000001, 0};
  settings.readiness_address = {0x7f000001, 0};
  settings.metrics_address = Address{0x7f000001, 0};
  settings.peer_address = Address{0x7f000001, 0};
  settings.seed_peers = std::move(seeds);
  settings.store_address = store;
  return settings;
}

FixtureOptions twoGateways(int events) {
  FixtureOptions options;
  options.gateways = 2;
  options.events = events;
  return options;
}

http::Request endRequest(const std::string& id) {
  http::Request request(boost::beast::http::verb::delete_, "/linenpier/lots/" + id, 11);
  request.set("Host", "h.example");
  return request;
}

GatewayUnderTest::GatewayUnderTest(boost::asio::io_context& loop,
                                   const gateway::GatewaySettings& settings)
    : store_pool(loop, {}),
      engine_pool(loop, {}),
      platform(store_pool, engine_pool, settings.store_address, settings.control_plane_address),
      gateway(loop, settings, platform, engine_pool, metrics, Random::seedFromSystem()) {
  cr_assert(gateway.start().empty());
}

GatewayFixture::GatewayFixture(FixtureOptions options) : options_(options) {
  store_ = std::make_unique<StandinStore>(loop_);
  duties_ = std::make_unique<StandinDuties>(loop_);
  for (int i = 0; i < options.lookup_samplers; ++i) {
    lookups_.push_back(std::make_unique<StandinSampler>(loop_, "look-" + std::to_string(i), 0));
  }
  for (int i = 0; i < options.model_samplers; ++i) {
    models_.push_back(
        std::make_unique<StandinSampler>(loop_, "model-" + std::to_string(i), options.events));
  }
  for (std::size_t i = 0; i < options_.model_zones.size(); ++i) {
    models_.at(i)->setZone(options_.model_zones[i]);
  }
  putConfiguration(3);
  putSamplers();
  for (int i = 0; i < options.gateways; ++i) addGateway("d" + std::to_string(i));
}

void GatewayFixture::addGateway(const std::string& name) {
  std::vector<Address> seeds;
  for (const auto& each : gateways_) seeds.push_back(each->gateway.peerAddress());
  gateway::GatewaySettings settings = settingsOf(store_->address(), name, std::move(seeds));
  if (gateways_.size() < options_.zones.size()) {
    settings.zone = ZoneName(options_.zones[gateways_.size()]);
  }
  settings.layout = options_.layout;
  settings.handover.tokens_checked = options_.tokens_checked;
  if (options_.usage) {
    settings.control_plane_address = duties_->address();
    settings.usage = *options_.usage;
    settings.usage.handover = settings.handover;
  }
  settings.cold = options_.cold;
  if (options_.scaling) {
    settings.control_plane_address = duties_->address();
    settings.scaling = *options_.scaling;
  }
  if (options_.keep_jobs) settings.batch.job_retention = *options_.keep_jobs;
  gateways_.push_back(std::make_unique<GatewayUnderTest>(loop_, settings));
}

void GatewayFixture::putConfiguration(std::uint64_t version, const std::string& more_routes) {
  const std::string routes =
      R"({"name":"look","host":"h.example","pathPrefix":"/look/","kind":"idempotent",
          "timeoutMs":1200,"targetLatencyMs":150,"service":"desk","maxAttempts":2},
         {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"non_idempotent",
          "timeoutMs":1200,"targetLatencyMs":150,"service":"desk","maxAttempts":2},
         {"name":"reward","host":"h.example","pathPrefix":"/reward/","kind":"idempotent",
          "timeoutMs":1200,"targetLatencyMs":150,"service":"desk","maxAttempts":3)" +
      options_.reward_fields + R"(},
         {"name":"open","host":"h.example","pathPrefix":"/open/","kind":"idempotent","public":true,
          "timeoutMs":1200,"targetLatencyMs":150,"service":"desk","maxAttempts":2},
         {"name":"talk","host":"h.example","pathPrefix":"/talk/","kind":"streaming","resumable":true,
          "timeoutMs":5000,"targetLatencyMs":150,"service":"models","maxAttempts":3},
         {"name":"say","host":"h.example","pathPrefix":"/say/","kind":"streaming",
          "timeoutMs":5000,"targetLatencyMs":150,"service":"models","maxAttempts":3},
         {"name":"jobs","host":"h.example","pathPrefix":"/jobs/","kind":"rollout",
          "timeoutMs":5000,"targetLatencyMs":400,"targetFinishMs":7500,"maxQueueS":20,
          "maxAttempts":2,"resumable":true,)" +
      options_.job_services + options_.job_fields + "}";
  store_->put(
      "op", "config",
      "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes + more_routes +
          R"(],"services":[{"name":"desk"},{"name":"models","coldStartS":3,"coldPerS":)" +
          std::to_string(options_.cold_per_second) + R"(,"engine":{"slots":8,
                     "kvCacheTokens":50000,"models":[{"name":"m"}]})" +
          (options_.scaling_bounds.empty() ? "" : ",\"scaling\":" + options_.scaling_bounds) + "}" +
          options_.more_services + R"(],
                     "limits":{"maxHeaderBytes":4096,"headerTimeoutMs":300,"idleTimeoutMs":2000,
                     "maxBodyBytes":)" +
          std::to_string(options_.max_body_bytes) + "}" +
          (options_.tenants.empty() ? "" : ",\"tenants\":" + options_.tenants) + "}");
}

void GatewayFixture::putSamplers() {
  for (const auto& each : lookups_) store_->put("servers", each->id(), each->entry("desk"));
  for (std::size_t i = 0; i < models_.size(); ++i) {
    const bool named = i < options_.model_services.size();
    const std::string service = named ? options_.model_services[i] : "models";
    store_->put("servers", models_[i]->id(), models_[i]->entry(service));
  }
}

void GatewayFixture::setFatal(const FatalRequests& fatal) {
  const auto follow = [this, &fatal](StandinSampler& sampler, const std::string& service) {
    sampler.setFatal(fatal);
    sampler.onRestart([this, &sampler, service](const std::string& before) {
      store_->remove("servers", before);
      store_->put("servers", sampler.id(), sampler.entry(service));
    });
  };
  for (const auto& each : lookups_) follow(*each, "desk");
  for (const auto& each : models_) follow(*each, "models");
}

int GatewayFixture::samplerCrashes() const {
  int ended = 0;
  for (const auto& each : lookups_) ended += each->crashes();
  for (const auto& each : models_) ended += each->crashes();
  return ended;
}

void GatewayFixture::run(std::function<Task<void>(GatewayFixture&)> test) {
  bool finished = false;
  spawn(loop_, [this, &test, &finished]() -> Task<void> {
    for (std::size_t i = 0; i < gateways_.size(); ++i) cr_assert(co_await waitReady(i));
    co_await test(*this);
    finished = true;
    loop_.stop();
  });
  // A gateway that has shut down stops the loop, which the other parts of the fixture share.
  const Instant end = steadyNow() + kMaxTest;
  while (!finished && steadyNow() < end) {
    loop_.restart();
    if (loop_.run_for(end - steadyNow()) == 0) break;
  }
  cr_assert(finished, "the test timed out or failed within a task");
}

Task<http::CallOutcome> GatewayFixture::call(std::size_t gateway, http::Request request) {
  const Address address = gateways_.at(gateway)->gateway.requestAddress();
  co_return co_await http::call(client_pool_, address, std::move(request),
                                steadyNow() + std::chrono::seconds(8));
}

Task<std::string> GatewayFixture::metricsPage(std::size_t gateway) {
  http::Request request(boost::beast::http::verb::get, "/metrics", 11);
  const Address address = gateways_.at(gateway)->gateway.metricsAddress();
  const Instant deadline = steadyNow() + std::chrono::seconds(2);
  http::CallOutcome outcome =
      co_await http::call(client_pool_, address, std::move(request), deadline);
  co_return std::move(outcome.response.body());
}

Task<std::uint64_t> GatewayFixture::metric(std::size_t gateway, std::string name) {
  const std::string page = co_await metricsPage(gateway);
  const std::string line = "\n" + name + " ";
  const std::size_t at = page.find(line);
  cr_assert_neq(at, std::string::npos, "%s is missing", name.c_str());
  co_return std::strtoull(page.c_str() + at + line.size(), nullptr, 10);
}

http::Request GatewayFixture::lookupRequest(const std::string& id, const std::string& path) const {
  http::Request request(boost::beast::http::verb::post, path, 11);
  request.set("Host", "h.example");
  request.set("Request-Id", id);
  request.set("Deadline-Ms", "1000");
  request.body() = "body of " + id;
  request.prepare_payload();
  return request;
}

http::Request GatewayFixture::jobRequest(const std::string& id, int items) const {
  json requests = json::array();
  for (int i = 0; i < items; ++i) {
    requests.push_back({{"id", id + "-" + std::to_string(i)},
                        {"path", "/jobs/" + std::to_string(i)},
                        {"headers", {{"Model", "m"}, {"Length-Hint", "100"}}},
                        {"body", platform_adapter::encodeBase64("prompt " + std::to_string(i))},
                        {"tokens", 200},
                        {"group", "g" + std::to_string(i / 2)}});
  }
  http::Request request(boost::beast::http::verb::post, "/jobs/x", 11);
  request.set("Host", "h.example");
  request.set("Request-Id", id);
  request.body() = json{{"model", "m"}, {"minVersion", 1}, {"requests", requests}}.dump();
  request.prepare_payload();
  return request;
}

http::Request GatewayFixture::scoredJobRequest(const std::string& id, int items) const {
  http::Request request = jobRequest(id, items);
  json document = json::parse(request.body());
  for (json& item : document["requests"]) {
    const std::string item_id = item["id"];
    item["scorer"] = {{"id", "r-" + item_id},
                      {"host", "h.example"},
                      {"path", "/reward/" + item_id},
                      {"body", platform_adapter::encodeBase64("score " + item_id)}};
  }
  request.body() = document.dump();
  request.prepare_payload();
  return request;
}

Task<std::string> GatewayFixture::readAll(std::size_t gateway, std::string id) {
  std::string all;
  std::size_t next = 0;
  std::size_t total = 1;
  const Instant deadline = steadyNow() + std::chrono::seconds(15);
  while (next < total && steadyNow() < deadline) {
    http::Request request(boost::beast::http::verb::get,
                          "/linenpier/lots/" + id + "?afterRev=" + std::to_string(next), 11);
    request.set("Host", "h.example");
    request.set("Wait-Ms", "500");
    if (!client_key_.empty()) request.set("Authorization", "Bearer " + client_key_);
    const http::CallOutcome outcome = co_await call(gateway, std::move(request));
    if (outcome.response.result_int() != 200) {
      co_await sleepFor(loop_, std::chrono::milliseconds(50));
      continue;
    }
    const json page = json::parse(outcome.response.body());
    total = page["total"].get<std::size_t>();
    cr_assert_eq(page["nextToken"].get<std::size_t>(), next + page["results"].size());
    next = page["nextToken"].get<std::size_t>();
    for (const json& result : page["results"]) all += result.dump() + "\n";
  }
  cr_assert_eq(next, total, "%zu of %zu results of %s", next, total, id.c_str());
  co_return all;
}

Task<bool> GatewayFixture::waitReady(std::size_t gateway) {
  gateway::Gateway* waited = &gateways_.at(gateway)->gateway;
  co_return co_await waitFor([waited] { return waited->ready(); });
}

Task<bool> GatewayFixture::waitFor(std::function<bool()> condition, Duration limit) {
  const Instant deadline = steadyNow() + limit;
  while (!condition()) {
    if (steadyNow() >= deadline) co_return false;
    co_await sleepFor(loop_, std::chrono::milliseconds(10));
  }
  co_return true;
}

}  // namespace linenpier::test
