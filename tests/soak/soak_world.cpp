#include "soak/soak_world.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace linenpier::soak {

namespace {

constexpr int kEvents = 12;
/// Longer than a stop goes on after idle connections are closed.
constexpr Duration kSlowResponse = std::chrono::seconds(5);
constexpr Duration kRestartDelay = std::chrono::milliseconds(600);
/// The listening ports of gateways, engines and proxies, which all stop listening for a time. Below
/// the range of outgoing connections, so that nobody else is given such a port in the meantime.
constexpr unsigned kFirstPort = 12000;
constexpr unsigned kPorts = 20000;
constexpr unsigned kPortsPerProcess = 100;

/// Memory of a gateway's machine; `scripts/soak` checks it.
constexpr int kMemoryMb = 88;

/// Crashes under an unlucky item: more than those that bar a caller's request.
constexpr int kUnluckyCrashes = 5;

/// @return a port that is currently free. Runs with other process ids start at other ports.
std::uint16_t unusedPort(boost::asio::io_context& loop) {
  using tcp = boost::asio::ip::tcp;
  static unsigned next = static_cast<unsigned>(::getpid()) * kPortsPerProcess;
  for (;;) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPorts);
    tcp::acceptor acceptor(loop);
    boost::system::error_code error;
    acceptor.open(tcp::v4(), error);
    if (!error) acceptor.bind({boost::asio::ip::address_v4::loopback(), port}, error);
    if (!error) return port;
  }
}

}  // namespace

std::string zoneOf(std::size_t number) {
  return number % 2 == 0 ? "z" : "y";
}

soak_world::soak_world(boost::asio::io_context& event_loop, const soak_options& run_options,
                       std::ostream& output)
    : loop(event_loop),
      options(run_options),
      out(output),
      call_random(run_options.seed + 1),
      pool(event_loop, {}),
      store(event_loop),
      checker(kEvents) {
  this->store.setSeed(run_options.seed);
}

void soak_world::print(const std::string& line) {
  this->out << line << std::endl;
}

void soak_world::sendSignal(const std::string& name, std::size_t gateway) {
  gateway_links& links = this->gateways.at(gateway);
  const Instant now = steadyNow();
  if (name == "KILL") links.killed_at = now;
  if (name == "TERM") links.stops.push_back(now);
  if (name == "STOP") links.frozen_at = now;
  this->print("signal " + name + " " + std::to_string(gateway));
}

void soak_world::makeEngines() {
  for (int i = 0; i < 2; ++i)
    this->addEngine(this->lookup_engines, "desk-" + std::to_string(i), "desk", 0);
  for (int i = 0; i < 2; ++i)
    this->addEngine(this->model_engines, "model-" + std::to_string(i), "models", kEvents);
  this->addEngine(this->model_engines, "second-0", "second", kEvents);
  this->unregistered_engine = std::make_unique<test::StandinSampler>(this->loop, "stray", 0);
}

void soak_world::addEngine(std::vector<std::unique_ptr<test::StandinSampler>>& engines,
                           const std::string& id, const std::string& service, int events) {
  const bool runs_items = events > 0;
  engines.push_back(
      std::make_unique<test::StandinSampler>(this->loop, id, events, unusedPort(this->loop)));
  test::StandinSampler& engine = *engines.back();
  engine.setEventGap(kEventInterval);
  engine.setZone(zoneOf(engines.size()));
  engine.setSlow("/slow/", kSlowResponse);
  this->engine_links.push_back(
      std::make_unique<fault_proxy>(this->loop, engine.address(), unusedPort(this->loop)));
  engine.setListedAddress(this->engine_links.back()->address());
  engine.setFatal({.mark = runs_items ? "" : kFatalMark, .down = kRestartDelay});
  // Every other engine keeps its id when it restarts.
  if (engines.size() % 2 == 0) engine.setKeepsId();
  fault_proxy& link = *this->engine_links.back();
  engine.onCrash([this, &link, runs_items] {
    link.stopListening();
    this->onEngineCrashed(runs_items);
  });
  engine.onRestart([this, &engine, &link, service](const std::string& before) {
    link.listenAgain();
    if (before != engine.id()) this->store.remove("servers", before);
    this->store.put("servers", engine.id(), engine.entry(service));
  });
  this->store.put("servers", id, engine.entry(service));
}

void soak_world::onEngineCrashed(bool runs_items) {
  if (!runs_items) {
    this->checker.onEngineCrashed();
    return;
  }
  if (--this->unlucky_crashes_left_ > 0) return;
  for (auto& each : this->model_engines) each->setFatal({.down = kRestartDelay});
}

void soak_world::beginUnluckyItem() {
  this->unlucky_crashes_left_ = kUnluckyCrashes;
  for (auto& each : this->model_engines)
    each->setFatal({.mark = kUnluckyMark, .down = kRestartDelay});
}

void soak_world::putConfiguration(const job_routing& jobs) {
  const std::string engine =
      R"("engine":{"slots":8,"kvCacheTokens":50000,"models":[{"name":"m"}]}})";
  this->store.put(
      "op", "config",
      "{\"version\":" + std::to_string(++this->configuration_version_) +
          R"(,"routes":[
        {"name":"look","host":"h.example","pathPrefix":"/look/","kind":"idempotent",
         "timeoutMs":1200,"targetLatencyMs":150,"service":"desk","maxAttempts":2},
        {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"non_idempotent",
         "timeoutMs":1200,"targetLatencyMs":150,"service":"desk","maxAttempts":2},
        {"name":"slow","host":"h.example","pathPrefix":"/slow/","kind":"non_idempotent",
         "timeoutMs":9000,"targetLatencyMs":150,"service":"desk","maxAttempts":2},
        {"name":"talk","host":"h.example","pathPrefix":"/talk/","kind":"streaming",
         "timeoutMs":6000,"targetLatencyMs":400,"service":"models","maxAttempts":3,
         "resumable":true},
        {"name":"jobs","host":"h.example","pathPrefix":"/jobs/","kind":"rollout",
         "timeoutMs":5000,"targetLatencyMs":400,"targetFinishMs":7500,"maxQueueS":60,
         "maxAttempts":3,"resumable":true,"allowedRegions":[)" +
          jobs.regions + "]," + jobs.services + R"(}],
        "services":[{"name":"desk"},{"name":"models",)" +
          engine + R"(,{"name":"second",)" + engine + R"(,{"name":"empty",)" + engine +
          R"(],"limits":{"maxHeaderBytes":4096,"headerTimeoutMs":3000,"idleTimeoutMs":2000,
         "maxBodyBytes":)" +
          std::to_string(2 * kUploadBytes) + "}}");
}

void soak_world::makeGateways() {
  std::string seeds;
  std::vector<std::uint16_t> peers;
  for (std::size_t i = 0; i < this->options.gateways; ++i) {
    peers.push_back(unusedPort(this->loop));
    seeds += (i > 0 ? "," : "") + toString(Address{0x7f000001, peers.back()});
  }
  for (std::size_t i = 0; i < this->options.gateways; ++i) {
    const Address front{0x7f000001, unusedPort(this->loop)};
    gateway_links links;
    links.front_address = front;
    links.front = std::make_unique<fault_proxy>(this->loop, front, unusedPort(this->loop));
    links.store =
        std::make_unique<fault_proxy>(this->loop, this->store.address(), unusedPort(this->loop));
    links.other_store =
        std::make_unique<fault_proxy>(this->loop, this->store.address(), unusedPort(this->loop));
    links.fixed_settings =
        "[daemon]\nid = \"g" + std::to_string(i) + "\"\nzone = \"" + zoneOf(i) +
        "\"\n[zones]\nz = \"near\"\ny = \"far\"\n[listen]\nrequests = \"" + toString(front) +
        "\"\nreadiness = \"" + toString(Address{0x7f000001, unusedPort(this->loop)}) +
        "\"\npeers = \"" + toString(Address{0x7f000001, peers[i]}) + "\"\n[peers]\nseeds = \"" +
        seeds + "\"\n[machine]\nmemory_mb = " + std::to_string(kMemoryMb) + "\n";
    this->gateways.push_back(std::move(links));
    this->writeSettings(i);
  }
  this->print("settings written");
}

void soak_world::writeSettings(std::size_t gateway) {
  const gateway_links& links = this->gateways.at(gateway);
  const fault_proxy& store = links.use_other_store ? *links.other_store : *links.store;
  const std::string path = this->options.directory + "/g" + std::to_string(gateway) + ".toml";
  // Renamed into place, so that a gateway never reads a part of the file.
  std::ofstream(path + ".new") << links.fixed_settings << "[store]\naddress = \""
                               << toString(store.address()) << "\"\n";
  std::filesystem::rename(path + ".new", path);
}

void soak_world::violateGuarantee() {
  const auto setViolations = [this](auto& engines, test::SamplerViolation violation) {
    for (auto& each : engines) each->setViolation(violation);
  };
  if (this->options.broken == "answer")
    setViolations(this->lookup_engines, test::SamplerViolation::kWrongResponse);
  if (this->options.broken == "refusal")
    setViolations(this->lookup_engines, test::SamplerViolation::kFalseRefusal);
  if (this->options.broken == "text")
    setViolations(this->model_engines, test::SamplerViolation::kRepeatsEvents);
}

Task<http::CallOutcome> soak_world::call(std::size_t gateway, http::Request request,
                                         Duration limit) {
  const Address front = this->gateways.at(gateway).front->address();
  const Instant deadline = steadyNow() + limit;
  co_return co_await http::call(this->pool, front, std::move(request), deadline);
}

void soak_world::recordRuns() {
  for (const test::SamplerArrival& each : this->unregistered_engine->takeArrivals()) {
    this->checker.onUnregisteredRequest(each.target);
  }
  for (auto* engines : {&this->lookup_engines, &this->model_engines}) {
    for (auto& engine : *engines) {
      for (const test::SamplerArrival& each : engine->takeArrivals()) {
        if (each.ran) this->checker.onRun(each.fields.at("request-id"), each.version);
      }
    }
  }
}

}  // namespace linenpier::soak
