#include "soak/soak_faults.h"

#include <algorithm>
#include <numeric>

namespace linenpier::soak {

namespace {

constexpr Duration kTimeBeforePhases = std::chrono::seconds(6);
constexpr Duration kMinPhase = std::chrono::seconds(6);
/// From the end of an overload phase to the end of the faults.
constexpr Duration kPhaseMargin = std::chrono::milliseconds(2500);
/// How much slower the store is under load.
constexpr int kSlowdown = 60;

/// Rows of jobs in the store.
constexpr char kJobRows[] = "linenpier/job/";
/// Time between events while a region is excluded, so that jobs take seconds.
constexpr Duration kSlowEventInterval = std::chrono::milliseconds(70);
/// Failed releases of jobs: more than an owner attempts while its region is excluded.
constexpr std::size_t kFailedReleases = 100;
/// Responses without end from an engine, some of them at one time.
constexpr int kEndlessResponses = 12;
/// Time between events during a stop: twelve of them last longer than the idle connections.
constexpr Duration kStopEventInterval = std::chrono::milliseconds(350);
constexpr Duration kTimeBeforeStop = std::chrono::milliseconds(600);
/// For how long the store is silent around a stop: until about the end of the process.
constexpr Duration kStopSilence = std::chrono::seconds(7);
/// Longest duration of a stop with its faults.
constexpr Duration kStopFault = std::chrono::seconds(8);
/// Longest wait for an owner to append results.
constexpr Duration kAppendWait = std::chrono::seconds(2);
/// A split whose first service has no engine, as JSON fields of a route.
constexpr char kEmptyServiceFirst[] = R"("trafficSplit":[{"service":"empty","weight":8},
    {"service":"second","weight":1},{"service":"models","weight":1}])";

Duration milliseconds(std::uint64_t count) {
  return std::chrono::milliseconds(count);
}

}  // namespace

soak_faults::soak_faults(soak_world& world)
    : world_(world),
      random_(world.options.seed),
      phase_random_(world.options.seed + 3),
      configuration_random_(world.options.seed + 4),
      stop_random_(world.options.seed + 5) {}

void soak_faults::start() {
  this->end_ = steadyNow() + this->world_.options.length;
  spawn(this->world_.loop, [this] { return this->faultLoop(); });
  spawn(this->world_.loop, [this] { return this->phaseLoop(); });
  spawn(this->world_.loop, [this] { return this->configurationLoop(); });
  spawn(this->world_.loop, [this] { return this->stopLoop(); });
}

Task<void> soak_faults::faultLoop() {
  while (this->world_.faults_enabled) {
    co_await sleepFor(this->world_.loop,
                      std::chrono::milliseconds(200 + this->random_.below(1200)));
    if (!this->world_.faults_enabled) co_return;
    ++this->faults_;
    // Faults may overlap, as some last longer than the interval between them.
    switch (this->random_.below(4)) {
      case 0:
        spawn(this->world_.loop, [this] { return this->injectLinkFault(); });
        break;
      case 1:
        spawn(this->world_.loop, [this] { return this->injectProcessFault(); });
        break;
      case 2:
        spawn(this->world_.loop, [this] { return this->injectStoreFault(); });
        break;
      default:
        spawn(this->world_.loop, [this] { return this->injectEngineFault(); });
    }
  }
}

Task<void> soak_faults::injectLinkFault() {
  std::vector<fault_proxy*> links;
  for (auto& each : this->world_.gateways)
    links.insert(links.end(), {each.front.get(), each.store.get(), each.other_store.get()});
  for (auto& each : this->world_.engine_links) links.push_back(each.get());
  fault_proxy& link = *links.at(this->random_.below(links.size()));
  const auto kind = this->random_.below(4);
  if (kind == 3) {
    link.resetAll();
    co_return;
  }
  const LinkMode modes[] = {LinkMode::kBlockAll, LinkMode::kBlockResponses, LinkMode::kDelay};
  link.setMode(modes[kind]);
  const auto duration = std::chrono::milliseconds(500 + this->random_.below(3000));
  co_await sleepFor(this->world_.loop, duration);
  link.setMode(LinkMode::kForward);
}

Task<void> soak_faults::injectProcessFault() {
  const std::size_t gateway = this->random_.below(this->world_.gateways.size());
  switch (this->random_.below(4)) {
    case 0:
      this->world_.sendSignal("KILL", gateway);
      co_return;
    case 1:
      this->world_.sendSignal("TERM", gateway);
      co_return;
    case 2:
      this->changeStore(gateway);
      co_return;
    default:
      break;
  }
  this->world_.sendSignal("STOP", gateway);
  const auto duration = std::chrono::milliseconds(500 + this->random_.below(3000));
  co_await sleepFor(this->world_.loop, duration);
  this->world_.sendSignal("CONT", gateway);
}

void soak_faults::changeStore(std::size_t gateway) {
  gateway_links& links = this->world_.gateways.at(gateway);
  links.use_other_store = !links.use_other_store;
  this->world_.writeSettings(gateway);
  this->world_.sendSignal("HUP", gateway);
}

Task<void> soak_faults::injectStoreFault() {
  test::StoreFaults& faults = this->world_.store.faults();
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
  co_await sleepFor(this->world_.loop, duration);
  faults.refuse = false;
  faults.silent = steadyNow() < this->silent_until_;
  faults.hang_feeds = false;
}

Task<void> soak_faults::injectEngineFault() {
  using test::SamplerAct;
  const SamplerAct acts[] = {
      SamplerAct::kShed,     SamplerAct::kFail,  SamplerAct::kCutShort, SamplerAct::kSurplusFirst,
      SamplerAct::kNonsense, SamplerAct::kClose, SamplerAct::kUnsigned};
  auto& engines =
      this->random_.below(2) == 0 ? this->world_.lookup_engines : this->world_.model_engines;
  auto& engine = engines.at(this->random_.below(engines.size()));
  if (this->random_.below(3) == 0) {
    this->sendWithoutEnd(*engine);
    co_return;
  }
  for (int i = 0; i < 3; ++i) {
    engine->script().push_back(acts[this->random_.below(std::size(acts))]);
  }
}

void soak_faults::sendWithoutEnd(test::StandinSampler& engine) {
  using test::EndlessPart;
  const EndlessPart parts[] = {EndlessPart::kChunkExtension, EndlessPart::kChunkedBody,
                               EndlessPart::kEvent,          EndlessPart::kRejectionBody,
                               EndlessPart::kFailureBody,    EndlessPart::kTrailer};
  engine.setEndlessPart(parts[this->random_.below(std::size(parts))]);
  for (int i = 0; i < kEndlessResponses; ++i) engine.script().push_back(test::SamplerAct::kEndless);
}

// --- Changes of the configuration ---------------------------------------------------------------

Task<void> soak_faults::configurationLoop() {
  while (steadyNow() < this->end_) {
    co_await sleepFor(this->world_.loop,
                      milliseconds(300 + this->configuration_random_.below(1200)));
    ++this->faults_;
    this->splitRoute();
    co_await this->excludeRegion();
  }
  // Jobs that are still open must be completed by the other services.
  this->routing_ = {};
  this->routing_.services = kEmptyServiceFirst;
  this->world_.putConfiguration(this->routing_);
}

void soak_faults::splitRoute() {
  const char* services[] = {R"("service":"models")", kEmptyServiceFirst,
                            R"("trafficSplit":[{"service":"second","weight":10},
                                               {"service":"models","weight":90}])",
                            R"("trafficSplit":[{"service":"second","weight":1},
                                               {"service":"empty","weight":1},
                                               {"service":"models","weight":8}])"};
  this->routing_.services = services[this->configuration_random_.below(std::size(services))];
  this->world_.putConfiguration(this->routing_);
}

Task<void> soak_faults::excludeRegion() {
  using test::StoreAct;
  test::StandinStore& store = this->world_.store;
  const Duration away = milliseconds(300 + this->configuration_random_.below(2500));
  // Executed after the owner has resumed the job and appended results, but published none.
  const Duration late = away + milliseconds(1000 + this->configuration_random_.below(1500));
  const bool refuse = this->configuration_random_.below(2) == 0;
  this->setEventInterval(kSlowEventInterval);
  store.setScript({"results/", {StoreAct::kHangExecuteLate}, late, kJobRows});
  const Instant latest = steadyNow() + kAppendWait;
  while (store.actsLeft() > 0 && steadyNow() < latest)
    co_await sleepFor(this->world_.loop, milliseconds(20));
  const StoreAct act = refuse ? StoreAct::kRefuse : StoreAct::kHangExecuteLate;
  const bool appended = store.actsLeft() == 0;
  const std::string job = appended ? store.lastScriptedKey() : std::string();
  store.setScript({kJobRows, std::deque<StoreAct>(kFailedReleases, act), late});
  this->routing_.regions = this->regionsWithoutOwner(job.substr(0, job.find('/')));
  this->world_.putConfiguration(this->routing_);
  co_await sleepFor(this->world_.loop, away);
  store.setScript({});
  this->routing_.regions = job_routing{}.regions;
  this->world_.putConfiguration(this->routing_);
  co_await sleepFor(this->world_.loop, late - away);
  this->setEventInterval(kEventInterval);
}

std::string soak_faults::regionsWithoutOwner(const std::string& job) {
  const std::string row = this->world_.store.get("linenpier", "job/" + job).value_or("");
  for (std::size_t i = 0; i < this->world_.gateways.size(); ++i) {
    const bool owner = row.find("\"owner\":\"g" + std::to_string(i) + "#") != std::string::npos;
    if (owner) return zoneOf(i) == "z" ? "\"far\"" : "\"near\"";
  }
  return this->configuration_random_.below(2) == 0 ? "\"near\"" : "\"far\"";
}

void soak_faults::setEventInterval(Duration interval) {
  if (steadyNow() < this->slow_until_) interval = kStopEventInterval;
  for (auto& each : this->world_.model_engines) each->setEventGap(interval);
}

// --- Stops --------------------------------------------------------------------------------------

Task<void> soak_faults::stopLoop() {
  for (;;) {
    co_await sleepFor(this->world_.loop, milliseconds(500 + this->stop_random_.below(2500)));
    if (steadyNow() + kStopFault > this->end_) co_return;
    ++this->faults_;
    co_await this->injectStop();
  }
}

Task<void> soak_faults::injectStop() {
  test::StoreFaults& store = this->world_.store.faults();
  const std::size_t gateway = this->stop_random_.below(this->world_.gateways.size());
  const bool silent = this->stop_random_.below(4) > 0;
  const bool log_blocked = this->stop_random_.below(2) == 0;
  const std::string log = "log " + std::to_string(gateway);
  if (log_blocked) this->world_.print(log + " blocked");
  // Streams last longer than a stopping gateway keeps its idle connections.
  this->slow_until_ = steadyNow() + kTimeBeforeStop + kStopSilence;
  this->setEventInterval(kStopEventInterval);
  co_await sleepFor(this->world_.loop, kTimeBeforeStop);
  this->silent_until_ = steadyNow() + (silent ? kStopSilence : Duration::zero());
  store.silent = silent;
  co_await sleepFor(this->world_.loop, milliseconds(this->stop_random_.below(200)));
  this->world_.sendSignal("TERM", gateway);
  spawn(this->world_.loop, [this, gateway] { return this->repeatSignals(gateway); });
  if (this->stop_random_.below(3) == 0) {
    this->world_.sendSignal("TERM", this->stop_random_.below(this->world_.gateways.size()));
  }
  co_await sleepFor(this->world_.loop, kStopSilence);
  store.silent = false;
  this->setEventInterval(kEventInterval);
  if (log_blocked) this->world_.print(log + " read");
}

Task<void> soak_faults::repeatSignals(std::size_t gateway) {
  const std::uint64_t count = this->stop_random_.below(3);
  for (std::uint64_t i = 0; i < count; ++i) {
    co_await sleepFor(this->world_.loop, milliseconds(this->stop_random_.below(2000)));
    if (this->stop_random_.below(2) == 0) {
      this->world_.sendSignal("TERM", gateway);
    } else {
      this->changeStore(gateway);
    }
  }
}

// --- Overload phases ----------------------------------------------------------------------------

Task<void> soak_faults::phaseLoop() {
  // Some changes of the configuration meet a store that does as the script says.
  co_await sleepFor(this->world_.loop, kTimeBeforePhases);
  for (;;) {
    co_await sleepFor(this->world_.loop, milliseconds(500 + this->phase_random_.below(1500)));
    const Duration drawn = milliseconds(10000 + this->phase_random_.below(8000));
    const Duration length = std::min<Duration>(drawn, this->end_ - steadyNow() - kPhaseMargin);
    if (length < kMinPhase) co_return;
    ++this->faults_;
    this->world_.overloaded = true;
    this->world_.store.faults().overload = this->drawOverload();
    const Instant until = steadyNow() + length;
    spawn(this->world_.loop, [this, until] { return this->restartInTurn(until); });
    this->disturbStoreLinks(until);
    co_await sleepFor(this->world_.loop, length);
    this->world_.store.faults().overload = {};
    this->world_.overloaded = false;
    co_await sleepFor(this->world_.loop, milliseconds(4000 + this->phase_random_.below(4000)));
  }
}

test::StoreOverload soak_faults::drawOverload() {
  test::StoreOverload overload;
  overload.write_time = milliseconds(kSlowdown * (2 + this->phase_random_.below(4)));
  overload.read_time = milliseconds(kSlowdown * (1 + this->phase_random_.below(2)));
  overload.lost_percent = 30 + this->phase_random_.below(21);
  overload.min_late = std::chrono::seconds(1);
  overload.max_late = std::chrono::seconds(6);
  overload.reset_percent = this->phase_random_.below(8);
  return overload;
}

Task<void> soak_faults::restartInTurn(Instant until) {
  std::vector<std::size_t> order(this->world_.gateways.size());
  std::iota(order.begin(), order.end(), 0);
  for (std::size_t i = order.size(); i > 1; --i)
    std::swap(order[i - 1], order[this->phase_random_.below(i)]);
  const Duration pause = (until - steadyNow()) / static_cast<int>(order.size() + 1);
  for (const std::size_t gateway : order) {
    co_await sleepFor(this->world_.loop, pause);
    this->world_.sendSignal("TERM", gateway);
  }
}

void soak_faults::disturbStoreLinks(Instant until) {
  const std::size_t count = this->world_.gateways.size();
  const std::size_t first = this->phase_random_.below(count);
  const std::size_t affected = 1 + this->phase_random_.below(std::max<std::size_t>(count - 1, 1));
  const bool refuse = this->phase_random_.below(2) == 0;
  for (std::size_t i = 0; i < affected; ++i) {
    gateway_links& links = this->world_.gateways.at((first + i) % count);
    for (fault_proxy* link : {links.store.get(), links.other_store.get()}) {
      const std::uint64_t seed = this->phase_random_.below(1U << 30U);
      spawn(this->world_.loop, [this, link, until, refuse, seed] {
        return this->disturbLink(link, until, refuse, seed);
      });
    }
  }
}

Task<void> soak_faults::disturbLink(fault_proxy* link, Instant until, bool refuse,
                                    std::uint64_t seed) {
  Random random(seed);
  for (;;) {
    co_await sleepFor(this->world_.loop, milliseconds(300 + random.below(1500)));
    if (steadyNow() >= until) co_return;
    if (!refuse) {
      link->resetAll();
      continue;
    }
    link->stopListening();
    co_await sleepFor(this->world_.loop, milliseconds(300 + random.below(1000)));
    link->listenAgain();
  }
}

}  // namespace linenpier::soak
