#include "soak/soak_run.h"

#include <fstream>
#include <nlohmann/json.hpp>

#include "base64.h"

namespace linenpier::soak {

using nlohmann::json;

namespace {

constexpr int kEvents = 12;
constexpr int kItems = 8;
constexpr Duration kEventInterval = std::chrono::milliseconds(15);
constexpr Duration kCallInterval = std::chrono::milliseconds(25);
constexpr Duration kFatalInterval = std::chrono::milliseconds(400);
constexpr Duration kRestartDelay = std::chrono::milliseconds(600);
constexpr char kFatalMark[] = "ends its engine";
constexpr Duration kJobInterval = std::chrono::milliseconds(900);
/// About half a heartbeat interval.
constexpr Duration kEntryInterval = std::chrono::milliseconds(700);
constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);
constexpr Duration kJobCallTimeout = std::chrono::milliseconds(4500);
/// Maximum duration of a fault. All faults have ended before the settle time begins.
constexpr Duration kMaxFaultDuration = std::chrono::milliseconds(3500);
/// From the end of the last fault until requests must be served again. Covers lease expiry,
/// detection of a store outage and the maximum backoff of an engine.
constexpr Duration kRecoveryTime = std::chrono::seconds(9);
constexpr Duration kRecoveryCheckTime = std::chrono::seconds(2);
constexpr Duration kJobTimeout = std::chrono::seconds(40);
constexpr Duration kStartTime = std::chrono::seconds(15);
/// After this time every daemon must know an accepted job.
constexpr Duration kJobVisibilityDelay = std::chrono::seconds(1);

/// @return a port of this host that is currently free.
std::uint16_t freePort(boost::asio::io_context& loop) {
  using tcp = boost::asio::ip::tcp;
  tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return acceptor.local_endpoint().port();
}

http::Request makeRequest(boost::beast::http::verb verb, const std::string& target) {
  http::Request request(verb, target, 11);
  request.set("Host", "h.example");
  return request;
}

}  // namespace

soak_run::soak_run(boost::asio::io_context& loop, const soak_options& options, std::ostream& out)
    : loop_(loop),
      options_(options),
      out_(out),
      random_(options.seed),
      call_random_(options.seed + 1),
      fatal_random_(options.seed + 2),
      pool_(loop, {}),
      store_(loop),
      checker_(kEvents) {}

void soak_run::print(const std::string& line) {
  this->out_ << line << std::endl;
}

void soak_run::start() {
  this->makeEngines();
  this->putConfiguration();
  this->makeGateways();
  this->violateGuarantee();
  spawn(this->loop_, [this] { return this->run(); });
}

void soak_run::makeEngines() {
  const auto add = [this](auto& engines, const std::string& id, const std::string& service,
                          int events) {
    engines.push_back(std::make_unique<test::StandinSampler>(this->loop_, id, events));
    test::StandinSampler& engine = *engines.back();
    engine.setEventGap(kEventInterval);
    this->engine_links_.push_back(std::make_unique<fault_proxy>(this->loop_, engine.address()));
    engine.setListedAddress(this->engine_links_.back()->address());
    engine.setFatal({.mark = kFatalMark, .down = kRestartDelay});
    // Every other engine keeps its id when it restarts.
    if (engines.size() % 2 == 0) engine.setKeepsId();
    fault_proxy& link = *this->engine_links_.back();
    engine.onCrash([this, &link] {
      link.stopListening();
      this->checker_.onEngineCrashed();
    });
    engine.onRestart([this, &engine, &link, service](const std::string& before) {
      link.listenAgain();
      if (before != engine.id()) this->store_.remove("servers", before);
      this->store_.put("servers", engine.id(), engine.entry(service));
    });
    this->store_.put("servers", id, engine.entry(service));
  };
  for (int i = 0; i < 2; ++i) add(this->lookup_engines_, "desk-" + std::to_string(i), "desk", 0);
  for (int i = 0; i < 2; ++i)
    add(this->model_engines_, "model-" + std::to_string(i), "models", kEvents);
  this->unregistered_engine_ = std::make_unique<test::StandinSampler>(this->loop_, "stray", 0);
}

void soak_run::putConfiguration() {
  this->store_.put("op", "config",
                   R"({"version":3,"routes":[
        {"name":"look","host":"h.example","pathPrefix":"/look/","kind":"idempotent",
         "timeoutMs":1200,"targetLatencyMs":150,"service":"desk","maxAttempts":2},
        {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"non_idempotent",
         "timeoutMs":1200,"targetLatencyMs":150,"service":"desk","maxAttempts":2},
        {"name":"jobs","host":"h.example","pathPrefix":"/jobs/","kind":"rollout",
         "timeoutMs":5000,"targetLatencyMs":400,"targetFinishMs":7500,"maxQueueS":60,
         "service":"models","maxAttempts":3,"resumable":true}],
        "services":[{"name":"desk"},{"name":"models","engine":{"slots":8,
         "kvCacheTokens":50000,"models":[{"name":"m"}]}}],
        "limits":{"maxHeaderBytes":4096,"maxBodyBytes":100000,"headerTimeoutMs":3000,
         "idleTimeoutMs":2000}})");
}

void soak_run::makeGateways() {
  std::string seeds;
  std::vector<std::uint16_t> peers;
  for (std::size_t i = 0; i < this->options_.gateways; ++i) {
    peers.push_back(freePort(this->loop_));
    seeds += (i > 0 ? "," : "") + toString(Address{0x7f000001, peers.back()});
  }
  for (std::size_t i = 0; i < this->options_.gateways; ++i) {
    const Address front{0x7f000001, freePort(this->loop_)};
    gateway_links links;
    links.front = std::make_unique<fault_proxy>(this->loop_, front);
    links.store = std::make_unique<fault_proxy>(this->loop_, this->store_.address());
    std::ofstream file(this->options_.directory + "/g" + std::to_string(i) + ".toml");
    file << "[daemon]\nid = \"g" << i << "\"\nzone = \"z\"\n[listen]\nrequests = \""
         << toString(front) << "\"\nreadiness = \""
         << toString(Address{0x7f000001, freePort(this->loop_)}) << "\"\npeers = \""
         << toString(Address{0x7f000001, peers[i]}) << "\"\n[peers]\nseeds = \"" << seeds
         << "\"\n[store]\naddress = \"" << toString(links.store->address()) << "\"\n";
    this->gateways_.push_back(std::move(links));
  }
  this->print("settings written");
}

void soak_run::violateGuarantee() {
  const auto setViolations = [this](auto& engines, test::SamplerViolation violation) {
    for (auto& each : engines) each->setViolation(violation);
  };
  if (this->options_.broken == "answer")
    setViolations(this->lookup_engines_, test::SamplerViolation::kWrongResponse);
  if (this->options_.broken == "refusal")
    setViolations(this->lookup_engines_, test::SamplerViolation::kFalseRefusal);
  if (this->options_.broken == "text")
    setViolations(this->model_engines_, test::SamplerViolation::kRepeatsEvents);
}

Task<http::CallOutcome> soak_run::call(std::size_t gateway, http::Request request, Duration limit) {
  const Address front = this->gateways_.at(gateway).front->address();
  const Instant deadline = steadyNow() + limit;
  co_return co_await http::call(this->pool_, front, std::move(request), deadline);
}

Task<void> soak_run::run() {
  const bool up = co_await this->waitForGateways();
  if (!up) this->print("no gateway served in time");
  spawn(this->loop_, [this] { return this->callLoop(); });
  spawn(this->loop_, [this] { return this->fatalLoop(); });
  spawn(this->loop_, [this] { return this->jobLoop(); });
  spawn(this->loop_, [this] { return this->versionLoop(); });
  spawn(this->loop_, [this] { return this->engineEntryLoop(); });
  spawn(this->loop_, [this] { return this->malformedEntryLoop(); });
  spawn(this->loop_, [this] { return this->faultLoop(); });
  co_await sleepFor(this->loop_, this->options_.length);
  this->faults_enabled_ = false;
  co_await sleepFor(this->loop_, kMaxFaultDuration);
  co_await sleepFor(this->loop_, kRecoveryTime);
  this->succeeded_ = 0;
  this->sent_ = 0;
  co_await sleepFor(this->loop_, kRecoveryCheckTime);
  this->checker_.onSettled(this->succeeded_, this->sent_);
  this->traffic_enabled_ = false;
  const Instant latest = steadyNow() + kJobTimeout;
  while (this->open_jobs_ > 0 && steadyNow() < latest) {
    co_await sleepFor(this->loop_, kCallInterval);
  }
  co_await sleepFor(this->loop_, kCallTimeout);
  this->recordRuns();
  this->checker_.finish();
  for (const std::string& each : this->checker_.violations()) this->print("violation " + each);
  this->print("soak: seed " + std::to_string(this->options_.seed) + ", " +
              std::to_string(this->checker_.requests()) + " requests, " +
              std::to_string(this->checker_.items()) + " items, " + std::to_string(this->faults_) +
              " faults, " + std::to_string(this->checker_.crashes()) + " engines ended, " +
              std::to_string(this->violations()) + " violations");
  this->loop_.stop();
}

Task<bool> soak_run::waitForGateways() {
  const Instant latest = steadyNow() + kStartTime;
  for (std::size_t i = 0; i < this->gateways_.size(); ++i) {
    for (int attempt = 0;; ++attempt) {
      if (steadyNow() >= latest) co_return false;
      const std::string id = "start-" + std::to_string(i) + "-" + std::to_string(attempt);
      http::Request request = makeRequest(boost::beast::http::verb::post, "/look/1");
      request.set("Request-Id", id);
      request.prepare_payload();
      const http::CallOutcome outcome = co_await this->call(i, std::move(request), kCallTimeout);
      const unsigned status = outcome.response.result_int();
      if (outcome.status == http::ExchangeStatus::kOk && status != 404) break;
      co_await sleepFor(this->loop_, kCallInterval);
    }
  }
  co_return true;
}

// --- Clients ------------------------------------------------------------------------------------

Task<void> soak_run::callLoop() {
  for (int i = 0; this->traffic_enabled_; ++i) {
    const bool at_most_once = i % 3 == 0;
    const std::string id = (at_most_once ? "once-" : "look-") + std::to_string(i);
    spawn(this->loop_, [this, id, at_most_once] { return this->sendLookup(id, at_most_once); });
    co_await sleepFor(this->loop_, kCallInterval);
  }
}

Task<void> soak_run::fatalLoop() {
  for (int i = 0; this->traffic_enabled_; ++i) {
    const std::string id = "fatal-" + std::to_string(i);
    // Unique bodies prevent the gateways from recognizing the request.
    const std::string what = this->options_.broken == "ends" ? id : "";
    spawn(this->loop_, [this, id, what] { return this->sendFatal(id, kFatalMark + what); });
    co_await sleepFor(this->loop_, kFatalInterval);
  }
}

Task<void> soak_run::sendFatal(std::string id, std::string body) {
  sent_request each{std::move(id), "/look/1", std::move(body), false};
  const std::size_t gateway = this->fatal_random_.below(this->gateways_.size());
  co_await this->send(std::move(each), gateway);
}

Task<void> soak_run::sendLookup(std::string id, bool at_most_once) {
  sent_request each;
  each.id = id;
  each.path = at_most_once ? "/once/1" : "/look/1";
  each.body = "body of " + id;
  each.at_most_once = at_most_once;
  ++this->sent_;
  const std::size_t gateway = this->call_random_.below(this->gateways_.size());
  const unsigned status = co_await this->send(std::move(each), gateway);
  if (status == 200) ++this->succeeded_;
}

Task<unsigned> soak_run::send(sent_request each, std::size_t gateway) {
  http::Request request = makeRequest(boost::beast::http::verb::post, each.path);
  request.set("Request-Id", each.id);
  request.set("Deadline-Ms", "1000");
  request.body() = each.body;
  request.prepare_payload();
  this->checker_.onSent(each.id, each.at_most_once);
  const http::CallOutcome outcome = co_await this->call(gateway, std::move(request), kCallTimeout);
  if (outcome.status != http::ExchangeStatus::kOk) co_return 0;
  const unsigned status = outcome.response.result_int();
  this->checker_.onResponse(each.id, status,
                            http::fieldText(outcome.response, "Response-Signature"),
                            outcome.response.body());
  co_return status;
}

// --- The trainer --------------------------------------------------------------------------------

Task<void> soak_run::jobLoop() {
  for (int step = 0; this->traffic_enabled_; ++step) {
    job each;
    each.id = "job-" + std::to_string(step);
    for (int i = 0; i < kItems; ++i) each.items.push_back(each.id + "-" + std::to_string(i));
    this->checker_.onJobSent(each.id, each.items);
    ++this->open_jobs_;
    spawn(this->loop_, [this, each] { return this->runJob(each); });
    co_await sleepFor(this->loop_, kJobInterval);
  }
}

Task<void> soak_run::runJob(job each) {
  const bool accepted = co_await this->submitJob(&each);
  if (accepted) {
    if (this->options_.broken == "job") {
      this->store_.remove("linenpier", "job/" + each.id);
    }
    const std::size_t first = this->call_random_.below(this->gateways_.size());
    const std::size_t second = this->call_random_.below(this->gateways_.size());
    const bool valid = co_await this->readAllResults(each, first);
    // Read again, possibly from another daemon: the results at each position must not change.
    if (valid) {
      co_await this->readAllResults(each, second);
      co_await this->endJob(each.id);
    }
  }
  --this->open_jobs_;
}

Task<bool> soak_run::submitJob(job* each) {
  json requests = json::array();
  for (std::size_t i = 0; i < each->items.size(); ++i) {
    requests.push_back({{"id", each->items[i]},
                        {"path", "/jobs/" + std::to_string(i)},
                        {"headers", {{"Model", "m"}, {"Length-Hint", "100"}}},
                        {"body", platform_adapter::encodeBase64("prompt")},
                        {"tokens", 200},
                        {"group", "g" + std::to_string(i / 2)}});
  }
  const std::string body = json{{"model", "m"}, {"minVersion", 1}, {"requests", requests}}.dump();
  bool all_refused = true;
  for (int attempt = 0; attempt < 4; ++attempt) {
    http::Request request = makeRequest(boost::beast::http::verb::post, "/jobs/x");
    request.set("Request-Id", each->id);
    request.body() = body;
    request.prepare_payload();
    const std::size_t gateway = this->call_random_.below(this->gateways_.size());
    const http::CallOutcome outcome =
        co_await this->call(gateway, std::move(request), kJobCallTimeout);
    const unsigned status =
        outcome.status == http::ExchangeStatus::kOk ? outcome.response.result_int() : 0;
    if (status == 202) {
      each->accepted_at = steadyNow();
      this->checker_.onJobAccepted(each->id);
      co_return true;
    }
    // Without a connection the job was not sent.
    const bool sent = outcome.sent;
    if (sent && status != 429 && status != 503) all_refused = false;
    co_await sleepFor(this->loop_, std::chrono::milliseconds(300));
  }
  if (all_refused) this->checker_.onJobRefused(each->id);
  co_return false;
}

Task<void> soak_run::endJob(std::string id) {
  const Instant latest = steadyNow() + kJobTimeout;
  while (steadyNow() < latest) {
    http::Request request = makeRequest(boost::beast::http::verb::delete_, "/linenpier/lots/" + id);
    const std::size_t gateway = this->call_random_.below(this->gateways_.size());
    const http::CallOutcome outcome =
        co_await this->call(gateway, std::move(request), kJobCallTimeout);
    const bool ended =
        outcome.status == http::ExchangeStatus::kOk && outcome.response.result_int() == 200;
    if (ended) co_return;
    co_await sleepFor(this->loop_, kCallInterval);
  }
}

Task<bool> soak_run::readAllResults(job each, std::size_t gateway) {
  const Instant latest = steadyNow() + kJobTimeout;
  std::size_t position = 0;
  while (position < each.items.size()) {
    if (steadyNow() >= latest) co_return false;
    const auto next = co_await this->readPage(each, position, gateway);
    if (next) {
      position = *next;
      continue;
    }
    gateway = this->call_random_.below(this->gateways_.size());
    co_await sleepFor(this->loop_, kCallInterval);
  }
  co_return true;
}

Task<std::optional<std::size_t>> soak_run::readPage(job each, std::size_t position,
                                                    std::size_t gateway) {
  http::Request request =
      makeRequest(boost::beast::http::verb::get,
                  "/linenpier/lots/" + each.id + "?afterRev=" + std::to_string(position));
  request.set("Wait-Ms", "500");
  const Instant asked_at = steadyNow();
  const http::CallOutcome outcome = co_await this->call(gateway, std::move(request), kCallTimeout);
  if (outcome.status != http::ExchangeStatus::kOk) co_return std::nullopt;
  const bool denied = outcome.response.result_int() == 404;
  if (denied && asked_at > each.accepted_at + kJobVisibilityDelay)
    this->checker_.onJobDenied(each.id);
  if (outcome.response.result_int() != 200) co_return std::nullopt;
  const json page = json::parse(outcome.response.body());
  for (const json& entry : page["results"]) {
    read_result result;
    result.item = entry["id"];
    result.state = entry["state"];
    result.text = entry.value("text", "");
    for (const json& version : entry.value("versions", json::array())) {
      result.versions.insert(version.get<std::uint64_t>());
    }
    this->recordRuns();
    this->checker_.onResult(each.id, position++, result);
  }
  co_return position;
}

void soak_run::recordRuns() {
  for (const test::SamplerArrival& each : this->unregistered_engine_->takeArrivals()) {
    this->checker_.onUnregisteredRequest(each.target);
  }
  for (auto* engines : {&this->lookup_engines_, &this->model_engines_}) {
    for (auto& engine : *engines) {
      for (const test::SamplerArrival& each : engine->takeArrivals()) {
        if (each.ran) this->checker_.onRun(each.fields.at("request-id"), each.version);
      }
    }
  }
}

Task<void> soak_run::versionLoop() {
  for (int version = 2; this->traffic_enabled_; ++version) {
    co_await sleepFor(this->loop_, std::chrono::seconds(4));
    const json named = {{"model", "m"}, {"version", version}};
    this->store_.put("op", "version/m", named.dump());
  }
}

Task<void> soak_run::engineEntryLoop() {
  std::map<std::string, std::uint64_t> published_versions;
  for (;;) {
    co_await sleepFor(this->loop_, kEntryInterval);
    for (const auto& engine : this->model_engines_) {
      std::uint64_t& version = published_versions[engine->id()];
      if (std::exchange(version, engine->version()) == engine->version()) continue;
      this->store_.put("servers", engine->id(), engine->entry("models"));
    }
  }
}

Task<void> soak_run::malformedEntryLoop() {
  const json valid = json::parse(this->unregistered_engine_->entry("desk"));
  const std::map<std::string, json> malformed_fields = {
      {"state", nullptr}, {"slots", 0}, {"zone", 7}, {"born", 1.5}, {"models", "none"}};
  while (this->traffic_enabled_) {
    for (const auto& [field, value] : malformed_fields) {
      json entry = valid;
      if (this->options_.broken != "entry") entry[field] = value;
      this->store_.put("servers", "stray", entry.dump());
      this->store_.put("servers", "unreadable", "\xff\xfe{");
      co_await sleepFor(this->loop_, kEntryInterval);
    }
  }
}

// --- Faults -------------------------------------------------------------------------------------

Task<void> soak_run::faultLoop() {
  while (this->faults_enabled_) {
    co_await sleepFor(this->loop_, std::chrono::milliseconds(200 + this->random_.below(1200)));
    if (!this->faults_enabled_) co_return;
    ++this->faults_;
    // Faults may overlap, as some last longer than the interval between them.
    switch (this->random_.below(4)) {
      case 0:
        spawn(this->loop_, [this] { return this->injectLinkFault(); });
        break;
      case 1:
        spawn(this->loop_, [this] { return this->injectProcessFault(); });
        break;
      case 2:
        spawn(this->loop_, [this] { return this->injectStoreFault(); });
        break;
      default:
        spawn(this->loop_, [this] { return this->injectEngineFault(); });
    }
  }
}

Task<void> soak_run::injectLinkFault() {
  std::vector<fault_proxy*> links;
  for (auto& each : this->gateways_)
    links.insert(links.end(), {each.front.get(), each.store.get()});
  for (auto& each : this->engine_links_) links.push_back(each.get());
  fault_proxy& link = *links.at(this->random_.below(links.size()));
  const auto kind = this->random_.below(4);
  if (kind == 3) {
    link.resetAll();
    co_return;
  }
  const LinkMode modes[] = {LinkMode::kBlockAll, LinkMode::kBlockResponses, LinkMode::kDelay};
  link.setMode(modes[kind]);
  const auto duration = std::chrono::milliseconds(500 + this->random_.below(3000));
  co_await sleepFor(this->loop_, duration);
  link.setMode(LinkMode::kForward);
}

Task<void> soak_run::injectProcessFault() {
  const std::string index = std::to_string(this->random_.below(this->gateways_.size()));
  if (this->random_.below(2) == 0) {
    this->print("signal KILL " + index);
    co_return;
  }
  this->print("signal STOP " + index);
  const auto duration = std::chrono::milliseconds(500 + this->random_.below(3000));
  co_await sleepFor(this->loop_, duration);
  this->print("signal CONT " + index);
}

Task<void> soak_run::injectStoreFault() {
  test::StoreFaults& faults = this->store_.faults();
  switch (this->random_.below(6)) {
    case 0:
      faults.lose_writes = 2;
      co_return;
    case 1:
      faults.delay_writes = 2;
      co_return;
    case 2:
      faults.forget_history = true;
      co_return;
    case 3:
      faults.refuse = true;
      break;
    case 4:
      faults.silent = true;
      break;
    default:
      faults.hang_feeds = true;
  }
  const auto duration = std::chrono::milliseconds(500 + this->random_.below(2500));
  co_await sleepFor(this->loop_, duration);
  faults.refuse = false;
  faults.silent = false;
  faults.hang_feeds = false;
}

Task<void> soak_run::injectEngineFault() {
  using test::SamplerAct;
  const SamplerAct acts[] = {
      SamplerAct::kShed,     SamplerAct::kFail,  SamplerAct::kCutShort, SamplerAct::kSurplusFirst,
      SamplerAct::kNonsense, SamplerAct::kClose, SamplerAct::kUnsigned};
  auto& engines = this->random_.below(2) == 0 ? this->lookup_engines_ : this->model_engines_;
  auto& engine = engines.at(this->random_.below(engines.size()));
  for (int i = 0; i < 3; ++i) {
    engine->script().push_back(acts[this->random_.below(std::size(acts))]);
  }
  co_return;
}

}  // namespace linenpier::soak
