#include "soak/soak_run.h"

#include <fstream>
#include <nlohmann/json.hpp>

#include "base64.h"

namespace linenpier::soak {

using nlohmann::json;

namespace {

constexpr int kEvents = 12;
constexpr int kItems = 8;
constexpr Duration kEventGap = std::chrono::milliseconds(15);
constexpr Duration kCallGap = std::chrono::milliseconds(25);
constexpr Duration kFatalGap = std::chrono::milliseconds(400);
constexpr Duration kEngineDown = std::chrono::milliseconds(600);
constexpr char kFatalMark[] = "ends its engine";
constexpr Duration kJobGap = std::chrono::milliseconds(900);
constexpr Duration kEntryGap = std::chrono::milliseconds(700);  ///< Some half a heartbeat.
constexpr Duration kCallTime = std::chrono::milliseconds(1500);
constexpr Duration kJobCallTime = std::chrono::milliseconds(4500);
/// Of the longest fault. The last ones end by themselves before the time to settle begins.
constexpr Duration kMaxFault = std::chrono::milliseconds(3500);
/// From the last fault until requests must be served again: a lease that ran out, an outage of the
/// store that has to be noticed, and the longest time for which an engine is left alone.
constexpr Duration kSettle = std::chrono::seconds(9);
constexpr Duration kWatched = std::chrono::seconds(2);
constexpr Duration kMaxJob = std::chrono::seconds(40);
constexpr Duration kStartTime = std::chrono::seconds(15);
/// After which a daemon must not deny an accepted job.
constexpr Duration kKnownBy = std::chrono::seconds(1);

/// @return a port of this host that nobody listens on just now.
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
      choice_(options.seed + 1),
      fatal_choice_(options.seed + 2),
      pool_(loop, {}),
      store_(loop),
      checker_(kEvents) {}

void soak_run::say(const std::string& line) {
  this->out_ << line << std::endl;
}

void soak_run::start() {
  this->makeEngines();
  this->putConfiguration();
  this->makeGateways();
  this->breakPromise();
  spawn(this->loop_, [this] { return this->direct(); });
}

void soak_run::makeEngines() {
  const auto add = [this](auto& engines, const std::string& id, const std::string& service,
                          int events) {
    engines.push_back(std::make_unique<test::StandinSampler>(this->loop_, id, events));
    test::StandinSampler& engine = *engines.back();
    engine.setEventGap(kEventGap);
    this->engine_links_.push_back(std::make_unique<fault_proxy>(this->loop_, engine.address()));
    engine.setListedAddress(this->engine_links_.back()->address());
    engine.setFatal({.mark = kFatalMark, .down = kEngineDown});
    // Every other engine starts again under the id that it had.
    if (engines.size() % 2 == 0) engine.setKeepsId();
    fault_proxy& link = *this->engine_links_.back();
    engine.onEnd([this, &link] {
      link.stopListening();
      this->checker_.onEngineEnded();
    });
    engine.onRestart([this, &engine, &link, service](const std::string& before) {
      link.listenAgain();
      if (before != engine.id()) this->store_.remove("servers", before);
      this->store_.put("servers", engine.id(), engine.entry(service));
    });
    this->store_.put("servers", id, engine.entry(service));
  };
  for (int i = 0; i < 2; ++i) add(this->desks_, "desk-" + std::to_string(i), "desk", 0);
  for (int i = 0; i < 2; ++i) add(this->models_, "model-" + std::to_string(i), "models", kEvents);
  this->stray_ = std::make_unique<test::StandinSampler>(this->loop_, "stray", 0);
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
  this->say("settings written");
}

void soak_run::breakPromise() {
  const auto lieOf = [this](auto& engines, test::SamplerLie lie) {
    for (auto& each : engines) each->setLie(lie);
  };
  if (this->options_.broken == "answer") lieOf(this->desks_, test::SamplerLie::kOtherAnswer);
  if (this->options_.broken == "refusal") lieOf(this->desks_, test::SamplerLie::kRefusesRun);
  if (this->options_.broken == "text") lieOf(this->models_, test::SamplerLie::kRepeatsEvents);
}

Task<http::CallOutcome> soak_run::call(std::size_t gateway, http::Request request, Duration limit) {
  const Address front = this->gateways_.at(gateway).front->address();
  const Instant deadline = steadyNow() + limit;
  co_return co_await http::call(this->pool_, front, std::move(request), deadline);
}

Task<void> soak_run::direct() {
  const bool up = co_await this->waitServed();
  if (!up) this->say("no gateway served in time");
  spawn(this->loop_, [this] { return this->callLoop(); });
  spawn(this->loop_, [this] { return this->fatalLoop(); });
  spawn(this->loop_, [this] { return this->trainLoop(); });
  spawn(this->loop_, [this] { return this->versionLoop(); });
  spawn(this->loop_, [this] { return this->entryLoop(); });
  spawn(this->loop_, [this] { return this->strayLoop(); });
  spawn(this->loop_, [this] { return this->faultLoop(); });
  co_await sleepFor(this->loop_, this->options_.length);
  this->striking_ = false;
  co_await sleepFor(this->loop_, kMaxFault);
  co_await sleepFor(this->loop_, kSettle);
  this->served_ = 0;
  this->sent_ = 0;
  co_await sleepFor(this->loop_, kWatched);
  this->checker_.onSettled(this->served_, this->sent_);
  this->traffic_ = false;
  const Instant latest = steadyNow() + kMaxJob;
  while (this->open_jobs_ > 0 && steadyNow() < latest) {
    co_await sleepFor(this->loop_, kCallGap);
  }
  co_await sleepFor(this->loop_, kCallTime);
  this->noteRuns();
  this->checker_.finish();
  for (const std::string& each : this->checker_.violations()) this->say("violation " + each);
  this->say("soak: seed " + std::to_string(this->options_.seed) + ", " +
            std::to_string(this->checker_.requests()) + " requests, " +
            std::to_string(this->checker_.items()) + " items, " + std::to_string(this->faults_) +
            " faults, " + std::to_string(this->checker_.ended()) + " engines ended, " +
            std::to_string(this->violations()) + " violations");
  this->loop_.stop();
}

Task<bool> soak_run::waitServed() {
  const Instant latest = steadyNow() + kStartTime;
  for (std::size_t i = 0; i < this->gateways_.size(); ++i) {
    for (int attempt = 0;; ++attempt) {
      if (steadyNow() >= latest) co_return false;
      const std::string id = "start-" + std::to_string(i) + "-" + std::to_string(attempt);
      http::Request request = makeRequest(boost::beast::http::verb::post, "/look/1");
      request.set("Request-Id", id);
      request.prepare_payload();
      const http::CallOutcome outcome = co_await this->call(i, std::move(request), kCallTime);
      const unsigned status = outcome.response.result_int();
      if (outcome.status == http::ExchangeStatus::kOk && status != 404) break;
      co_await sleepFor(this->loop_, kCallGap);
    }
  }
  co_return true;
}

// --- Callers ------------------------------------------------------------------------------------

Task<void> soak_run::callLoop() {
  for (int i = 0; this->traffic_; ++i) {
    const bool once = i % 3 == 0;
    const std::string id = (once ? "once-" : "look-") + std::to_string(i);
    spawn(this->loop_, [this, id, once] { return this->callOnce(id, once); });
    co_await sleepFor(this->loop_, kCallGap);
  }
}

Task<void> soak_run::fatalLoop() {
  for (int i = 0; this->traffic_; ++i) {
    const std::string id = "fatal-" + std::to_string(i);
    // A request that is another one each time can't be known again.
    const std::string what = this->options_.broken == "ends" ? id : "";
    spawn(this->loop_, [this, id, what] { return this->sendFatal(id, kFatalMark + what); });
    co_await sleepFor(this->loop_, kFatalGap);
  }
}

Task<void> soak_run::sendFatal(std::string id, std::string body) {
  sent_request each{std::move(id), "/look/1", std::move(body), false};
  const std::size_t gateway = this->fatal_choice_.below(this->gateways_.size());
  co_await this->send(std::move(each), gateway);
}

Task<void> soak_run::callOnce(std::string id, bool once) {
  sent_request each;
  each.id = id;
  each.path = once ? "/once/1" : "/look/1";
  each.body = "body of " + id;
  each.once = once;
  ++this->sent_;
  const std::size_t gateway = this->choice_.below(this->gateways_.size());
  const unsigned status = co_await this->send(std::move(each), gateway);
  if (status == 200) ++this->served_;
}

Task<unsigned> soak_run::send(sent_request each, std::size_t gateway) {
  http::Request request = makeRequest(boost::beast::http::verb::post, each.path);
  request.set("Request-Id", each.id);
  request.set("Deadline-Ms", "1000");
  request.body() = each.body;
  request.prepare_payload();
  this->checker_.onSent(each.id, each.once);
  const http::CallOutcome outcome = co_await this->call(gateway, std::move(request), kCallTime);
  if (outcome.status != http::ExchangeStatus::kOk) co_return 0;
  const unsigned status = outcome.response.result_int();
  this->checker_.onAnswer(each.id, status, http::fieldText(outcome.response, "Response-Signature"),
                          outcome.response.body());
  co_return status;
}

// --- The trainer --------------------------------------------------------------------------------

Task<void> soak_run::trainLoop() {
  for (int step = 0; this->traffic_; ++step) {
    job each;
    each.id = "job-" + std::to_string(step);
    for (int i = 0; i < kItems; ++i) each.items.push_back(each.id + "-" + std::to_string(i));
    this->checker_.onJobSent(each.id, each.items);
    ++this->open_jobs_;
    spawn(this->loop_, [this, each] { return this->runJob(each); });
    co_await sleepFor(this->loop_, kJobGap);
  }
}

Task<void> soak_run::runJob(job each) {
  const bool accepted = co_await this->handIn(&each);
  if (accepted) {
    if (this->options_.broken == "job") {
      this->store_.remove("linenpier", "job/" + each.id);
    }
    const std::size_t first = this->choice_.below(this->gateways_.size());
    const std::size_t second = this->choice_.below(this->gateways_.size());
    const bool whole = co_await this->readWhole(each, first);
    // Read once more, at another daemon perhaps: positions keep what they hold.
    if (whole) {
      co_await this->readWhole(each, second);
      co_await this->endJob(each.id);
    }
  }
  --this->open_jobs_;
}

Task<bool> soak_run::handIn(job* each) {
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
    const std::size_t gateway = this->choice_.below(this->gateways_.size());
    const http::CallOutcome outcome =
        co_await this->call(gateway, std::move(request), kJobCallTime);
    const unsigned status =
        outcome.status == http::ExchangeStatus::kOk ? outcome.response.result_int() : 0;
    if (status == 202) {
      each->accepted_at = steadyNow();
      this->checker_.onJobAccepted(each->id);
      co_return true;
    }
    // Without a connection nothing was sent.
    const bool sent = outcome.sent;
    if (sent && status != 429 && status != 503) all_refused = false;
    co_await sleepFor(this->loop_, std::chrono::milliseconds(300));
  }
  if (all_refused) this->checker_.onJobRefused(each->id);
  co_return false;
}

Task<void> soak_run::endJob(std::string id) {
  const Instant latest = steadyNow() + kMaxJob;
  while (steadyNow() < latest) {
    http::Request request = makeRequest(boost::beast::http::verb::delete_, "/linenpier/lots/" + id);
    const std::size_t gateway = this->choice_.below(this->gateways_.size());
    const http::CallOutcome outcome =
        co_await this->call(gateway, std::move(request), kJobCallTime);
    const bool ended =
        outcome.status == http::ExchangeStatus::kOk && outcome.response.result_int() == 200;
    if (ended) co_return;
    co_await sleepFor(this->loop_, kCallGap);
  }
}

Task<bool> soak_run::readWhole(job each, std::size_t gateway) {
  const Instant latest = steadyNow() + kMaxJob;
  std::size_t position = 0;
  while (position < each.items.size()) {
    if (steadyNow() >= latest) co_return false;
    const auto next = co_await this->readPage(each, position, gateway);
    if (next) {
      position = *next;
      continue;
    }
    gateway = this->choice_.below(this->gateways_.size());
    co_await sleepFor(this->loop_, kCallGap);
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
  const http::CallOutcome outcome = co_await this->call(gateway, std::move(request), kCallTime);
  if (outcome.status != http::ExchangeStatus::kOk) co_return std::nullopt;
  const bool denied = outcome.response.result_int() == 404;
  if (denied && asked_at > each.accepted_at + kKnownBy) this->checker_.onJobDenied(each.id);
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
    this->noteRuns();
    this->checker_.onResult(each.id, position++, result);
  }
  co_return position;
}

void soak_run::noteRuns() {
  for (const test::SamplerArrival& each : this->stray_->takeArrivals()) {
    this->checker_.onUnnamedReached(each.target);
  }
  for (auto* engines : {&this->desks_, &this->models_}) {
    for (auto& engine : *engines) {
      for (const test::SamplerArrival& each : engine->takeArrivals()) {
        if (each.ran) this->checker_.onRun(each.fields.at("request-id"), each.version);
      }
    }
  }
}

Task<void> soak_run::versionLoop() {
  for (int version = 2; this->traffic_; ++version) {
    co_await sleepFor(this->loop_, std::chrono::seconds(4));
    const json named = {{"model", "m"}, {"version", version}};
    this->store_.put("op", "version/m", named.dump());
  }
}

Task<void> soak_run::entryLoop() {
  std::map<std::string, std::uint64_t> told;
  for (;;) {
    co_await sleepFor(this->loop_, kEntryGap);
    for (const auto& engine : this->models_) {
      std::uint64_t& version = told[engine->id()];
      if (std::exchange(version, engine->version()) == engine->version()) continue;
      this->store_.put("servers", engine->id(), engine->entry("models"));
    }
  }
}

Task<void> soak_run::strayLoop() {
  const json whole = json::parse(this->stray_->entry("desk"));
  const std::map<std::string, json> spoilt = {
      {"state", nullptr}, {"slots", 0}, {"zone", 7}, {"born", 1.5}, {"models", "none"}};
  while (this->traffic_) {
    for (const auto& [field, value] : spoilt) {
      json entry = whole;
      if (this->options_.broken != "entry") entry[field] = value;
      this->store_.put("servers", "stray", entry.dump());
      this->store_.put("servers", "unreadable", "\xff\xfe{");
      co_await sleepFor(this->loop_, kEntryGap);
    }
  }
}

// --- Faults -------------------------------------------------------------------------------------

Task<void> soak_run::faultLoop() {
  while (this->striking_) {
    co_await sleepFor(this->loop_, std::chrono::milliseconds(200 + this->random_.below(1200)));
    if (!this->striking_) co_return;
    ++this->faults_;
    // Faults lie over each other: some last longer than the pause between two.
    switch (this->random_.below(4)) {
      case 0:
        spawn(this->loop_, [this] { return this->strikeLink(); });
        break;
      case 1:
        spawn(this->loop_, [this] { return this->strikeProcess(); });
        break;
      case 2:
        spawn(this->loop_, [this] { return this->strikeStore(); });
        break;
      default:
        spawn(this->loop_, [this] { return this->strikeEngine(); });
    }
  }
}

Task<void> soak_run::strikeLink() {
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
  const LinkMode modes[] = {LinkMode::kSilent, LinkMode::kSilentAnswers, LinkMode::kDelayed};
  link.setMode(modes[kind]);
  const auto lasts = std::chrono::milliseconds(500 + this->random_.below(3000));
  co_await sleepFor(this->loop_, lasts);
  link.setMode(LinkMode::kPass);
}

Task<void> soak_run::strikeProcess() {
  const std::string index = std::to_string(this->random_.below(this->gateways_.size()));
  if (this->random_.below(2) == 0) {
    this->say("signal KILL " + index);
    co_return;
  }
  this->say("signal STOP " + index);
  const auto lasts = std::chrono::milliseconds(500 + this->random_.below(3000));
  co_await sleepFor(this->loop_, lasts);
  this->say("signal CONT " + index);
}

Task<void> soak_run::strikeStore() {
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
  const auto lasts = std::chrono::milliseconds(500 + this->random_.below(2500));
  co_await sleepFor(this->loop_, lasts);
  faults.refuse = false;
  faults.silent = false;
  faults.hang_feeds = false;
}

Task<void> soak_run::strikeEngine() {
  using test::SamplerAct;
  const SamplerAct acts[] = {
      SamplerAct::kShed,     SamplerAct::kFail,  SamplerAct::kCutShort, SamplerAct::kSurplusFirst,
      SamplerAct::kNonsense, SamplerAct::kClose, SamplerAct::kUnsigned};
  auto& engines = this->random_.below(2) == 0 ? this->desks_ : this->models_;
  auto& engine = engines.at(this->random_.below(engines.size()));
  for (int i = 0; i < 3; ++i) {
    engine->script().push_back(acts[this->random_.below(std::size(acts))]);
  }
  co_return;
}

}  // namespace linenpier::soak
