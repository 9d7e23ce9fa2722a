#include "sim/hollow_fleet.h"

#include <ctime>
#include <nlohmann/json.hpp>

namespace linenpier::sim {

namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(50);
constexpr Duration kPlatformDelay = std::chrono::milliseconds(20);
constexpr std::uint64_t kIpAndUdpHeaderBytes = 28;

/// Processor time of this thread, in seconds.
double threadCpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// Adds the processor time spent in a scope to a sum.
class CpuMeter {
 public:
  explicit CpuMeter(double& sum) : sum_(sum), begin_(threadCpuSeconds()) {}
  ~CpuMeter() { sum_ += threadCpuSeconds() - begin_; }
  CpuMeter(const CpuMeter&) = delete;
  CpuMeter& operator=(const CpuMeter&) = delete;

 private:
  double& sum_;
  double begin_;
};

const char* messageName(const wire::Message& message) {
  static constexpr const char* kNames[] = {"Probe",           "ProbeAck",       "IndirectProbe",
                                           "ZoneLoad",        "ZoneDigest",     "PlacementRequest",
                                           "PlacementAnswer", "ConfigRequest",  "ConfigItems",
                                           "StepNotice",      "PullRequest",    "PullAnswer",
                                           "SampleOrder",     "SampleProgress", "SampleCancel",
                                           "SampleResult",    "SampleResultAck"};
  return kNames[message.index()];
}

std::string templateDocument() {
  return R"({"name":"basic","kind":"rollout","max_in_flight":400,"max_queued":4096})";
}

std::string tenantDocument(const std::string& name, const std::string& model, int staleness) {
  return nlohmann::json{
      {"name", name},
      {"key_hashes", {config::sha256Hex(name)}},
      {"models", {{{"model", model}, {"template", "basic"}}}},
      {"trainers", {{{"trainer", "main"}, {"model", model}, {"staleness_bound", staleness}}}}}
      .dump();
}

}  // namespace

struct HollowFleet::Daemon {
  std::unique_ptr<node::NodeCore> core;
  wire::MemberRecord record;
  bool up = true;
};

struct HollowFleet::Engine {
  upstream::EngineSeed seed;
  std::uint32_t running = 0;
  WeightVersion version = 1;
  WeightVersion prefetched = 0;
  FencingToken highest_token = 0;
  std::size_t owner = SIZE_MAX;  ///< Daemon that holds the highest token.
};

/// The table in memory, answering at once; counts calls.
class HollowFleet::LocalTable : public table::TableClient {
 public:
  LocalTable(standin::TableStore& store, const bool& up, FleetCost& cost)
      : store_(store), up_(up), cost_(cost) {}

  CallResult<table::TransactionAnswer> transact(const table::Transaction& transaction) override {
    ++cost_.table_writes;
    if (!up_) return down<table::TransactionAnswer>();
    return store_.transact(transaction);
  }
  CallResult<table::Row> read(const std::string& key) override {
    ++cost_.table_reads;
    if (!up_) return down<table::Row>();
    return store_.read(key);
  }
  CallResult<std::vector<table::Row>> list(const std::string& prefix) override {
    ++cost_.table_reads;
    if (!up_) return down<std::vector<table::Row>>();
    return store_.list(prefix);
  }

 private:
  template <typename T>
  static CallResult<T> down() {
    return tl::make_unexpected(CallError{CallFailure::kUnavailable, "down"});
  }
  standin::TableStore& store_;
  const bool& up_;
  FleetCost& cost_;
};

HollowFleet::HollowFleet(FleetOptions options)
    : options_(options),
      random_(options.seed),
      table_store_(std::make_shared<standin::TableStore>()),
      table_(std::make_shared<LocalTable>(*table_store_, table_up_, cost_)) {
  const auto zone = [this](std::uint32_t i) {
    return ZoneName("zone-" + std::to_string(i % options_.zones));
  };
  for (std::uint32_t i = 0; i < options_.engines; ++i) {
    const std::uint32_t model = i / options_.zones % options_.models;
    auto engine = std::make_unique<Engine>();
    engine->seed = {EngineId("sampler-" + std::to_string(i)), zone(i),
                    ModelName("model-" + std::to_string(model)),
                    "http://127.0.0.1:9000/engines/" + std::to_string(i), false};
    engines_[engine->seed.id] = std::move(engine);
  }
  const daemon::ConfigStore store(table_);
  store.commit({"template/basic", 0, templateDocument()}, AttemptId("hollow-template"));
  for (std::uint32_t i = 0; i < options_.tenants; ++i) {
    const std::string name = "tenant-" + std::to_string(i);
    const std::string model = "model-" + std::to_string(i % options_.models);
    store.commit({"tenant/" + name, 0, tenantDocument(name, model, 2)},
                 AttemptId("hollow-tenant-" + std::to_string(i)));
  }
  for (std::uint32_t i = 0; i < options_.daemons; ++i) {
    auto daemon = std::make_unique<Daemon>();
    const std::uint32_t region = i % options_.zones % options_.regions;
    daemon->record = {DaemonId("daemon-" + std::to_string(i)),
                      {0x7f000001, static_cast<std::uint16_t>(10000 + i)},
                      zone(i),
                      RegionName("region-" + std::to_string(region)),
                      1,
                      wire::MemberStatus::kAlive};
    node::NodeOptions node_options;
    node_options.self = daemon->record;
    node_options.seed = options_.seed * 100003 + i;
    daemon->core = std::make_unique<node::NodeCore>(node_options);
    daemons_.push_back(std::move(daemon));
    const Duration offset{static_cast<std::int64_t>(random_.below(kTickPeriod.count()))};
    at(now_ + offset, [this, i] { tick(i); });
  }
  resetCost();
}

HollowFleet::~HollowFleet() = default;

void HollowFleet::run(Duration duration) {
  const Instant end = now_ + duration;
  while (!later_.empty() && later_.top().when <= end) {
    const auto action = later_.top().action;
    now_ = later_.top().when;
    later_.pop();
    action();
  }
  now_ = end;
}

void HollowFleet::resetCost() {
  cost_ = FleetCost{};
  cost_since_ = now_;
}

FleetCost HollowFleet::cost() const {
  FleetCost cost = cost_;
  cost.virtual_s = toSeconds(now_ - cost_since_);
  return cost;
}

void HollowFleet::at(Instant when, std::function<void()> action) {
  later_.push({when, next_order_++, std::move(action)});
}

void HollowFleet::tick(std::size_t daemon) {
  if (!daemons_[daemon]->up) return;
  feed(daemon, node::Tick{});
  at(now_ + kTickPeriod, [this, daemon] { tick(daemon); });
}

void HollowFleet::feed(std::size_t daemon, const node::Event& event) {
  if (!daemons_[daemon]->up) return;
  node::Effects effects;
  {
    const CpuMeter meter(cost_.cpu_s);
    effects = daemons_[daemon]->core->handle(now_, event);
  }
  for (const node::Effect& effect : effects) perform(daemon, effect);
}

void HollowFleet::answerLater(std::size_t daemon, Duration delay, node::Event event) {
  at(now_ + delay, [this, daemon, event = std::move(event)] { feed(daemon, event); });
}

void HollowFleet::perform(std::size_t daemon, const node::Effect& effect) {
  if (const auto* send = std::get_if<node::SendDatagram>(&effect)) {
    sendDatagram(daemon, send->outgoing);
  } else if (std::holds_alternative<node::ReadMachineList>(effect)) {
    const auto list = machineListFor(daemons_[daemon]->record.zone);
    answerLater(daemon, kPlatformDelay, node::MachineListRead{list.daemons, list.engines});
  } else if (const auto* load = std::get_if<node::ReadLoad>(&effect)) {
    ++cost_.engine_polls;
    Engine& engine = *engines_.at(load->engine);
    if (random_.unit() < options_.load_change) {
      engine.running = static_cast<std::uint32_t>(random_.below(options_.slots));
    }
    const wire::EngineReport report{load->engine,   engine.running,    0,    options_.slots,
                                    engine.version, engine.prefetched, false};
    answerLater(daemon, std::chrono::milliseconds(1), node::LoadRead{load->engine, report});
  } else if (const auto* head = std::get_if<node::ReadModelHead>(&effect)) {
    answerLater(daemon, kPlatformDelay, node::ModelHeadRead{{head->model, heads_[head->model]}});
  } else if (const auto* read = std::get_if<node::ReadConfig>(&effect)) {
    const auto stored = daemon::ConfigStore(table_).read(read->have);
    node::ConfigRead event;
    if (stored) event = {true, stored->items, stored->revision};
    answerLater(daemon, kPlatformDelay, event);
  } else if (const auto* claimed = std::get_if<node::ClaimEngine>(&effect)) {
    claim(daemon, claimed->engine);
  } else if (const auto* sent = std::get_if<node::SendOrder>(&effect)) {
    order(daemon, *sent);
  }
}

void HollowFleet::sendDatagram(std::size_t daemon, const wire::Outgoing& outgoing) {
  const std::size_t to = outgoing.to.port - 10000U;
  const Daemon& sender = *daemons_[daemon];
  std::string frame;
  {
    const CpuMeter meter(cost_.cpu_s);
    const auto encoded = codec_.encode({sender.record.id, outgoing.message});
    if (!encoded) return;
    frame = *encoded;
  }
  const std::uint64_t bytes = frame.size() + kIpAndUdpHeaderBytes;
  cost_.bytes += bytes;
  cost_.bytes_by_message[messageName(outgoing.message)] += bytes;
  ++cost_.datagrams;
  const Daemon& receiver = *daemons_.at(to);
  const bool zones_differ = sender.record.zone != receiver.record.zone;
  const bool cut = zones_differ && (cut_zones_.contains(sender.record.zone) ||
                                    cut_zones_.contains(receiver.record.zone));
  if (cut || !receiver.up) return;
  const bool regions_differ = sender.record.region != receiver.record.region;
  const Duration latency = regions_differ ? options_.region_latency : options_.zone_latency;
  at(now_ + latency, [this, to, frame = std::move(frame)] {
    if (!daemons_[to]->up) return;
    tl::expected<wire::Envelope, wire::FrameError> envelope;
    {
      const CpuMeter meter(cost_.cpu_s);
      envelope = codec_.decode(frame);
    }
    if (envelope) feed(to, node::DatagramArrived{*envelope});
  });
}

void HollowFleet::claim(std::size_t daemon, const EngineId& engine) {
  const std::string key = "owner/" + engine.str();
  node::ClaimDone done{engine, std::nullopt};
  const auto row = table_->read(key);
  if (row) {
    const auto written = table_->transact({{{key, row->revision}}, {{key, "{}"}}});
    if (written && written->committed) {
      done.token = written->revision;
      engines_.at(engine)->owner = daemon;
    }
  }
  answerLater(daemon, kPlatformDelay, done);
}

void HollowFleet::order(std::size_t daemon, const node::SendOrder& effect) {
  Engine& engine = *engines_.at(effect.engine);
  node::OrderDone done{effect.engine, effect.order, engine::OrderOutcome::kDone};
  if (effect.order.token < engine.highest_token) {
    done.outcome = engine::OrderOutcome::kFenced;
    return answerLater(daemon, std::chrono::milliseconds(1), done);
  }
  engine.highest_token = effect.order.token;
  const bool flip = effect.order.kind == engine::FencedOrder::Kind::kFlip;
  Instant finished = now_ + fromSeconds(options_.flip_s);
  if (!flip) {
    weight_store_free_ =
        std::max(weight_store_free_, now_) + fromSeconds(1.0 / options_.prefetch_rate);
    finished = weight_store_free_ + std::chrono::seconds(1);
  }
  at(finished, [this, daemon, flip, done] {
    Engine& target = *engines_.at(done.engine);
    WeightVersion& held = flip ? target.version : target.prefetched;
    held = std::max(held, done.order.version);
    feed(daemon, done);
  });
}

platform::MachineList HollowFleet::machineListFor(const ZoneName& zone) const {
  platform::MachineList list;
  for (const auto& daemon : daemons_) {
    const wire::MemberRecord& record = daemon->record;
    list.daemons.push_back({record.id, record.address, record.zone, record.region});
  }
  for (const auto& [id, engine] : engines_) {
    if (engine->seed.zone == zone) list.engines.push_back(engine->seed);
  }
  return list;
}

void HollowFleet::kill(std::size_t daemon) {
  daemons_[daemon]->up = false;
}

void HollowFleet::cutZone(std::uint32_t zone, bool cut) {
  const ZoneName name("zone-" + std::to_string(zone));
  if (cut) {
    cut_zones_.insert(name);
  } else {
    cut_zones_.erase(name);
  }
}

Revision HollowFleet::changeConfig(std::size_t daemon) {
  const daemon::ConfigStore store(table_);
  const std::string key = "tenant/tenant-0";
  const auto present = store.read(0);
  if (!present) return 0;
  Revision made_from = 0;
  for (const wire::ConfigItem& item : present->items) {
    if (item.key == key) made_from = item.revision;
  }
  const int staleness = static_cast<int>(random_.below(10));
  const auto result =
      store.commit({key, made_from, tenantDocument("tenant-0", "model-0", staleness)},
                   AttemptId("hollow-change-" + random_.hex16()));
  if (result.outcome != daemon::EditOutcome::kAccepted) return 0;
  feed(daemon, node::ConfigCommitted{result.item});
  return result.item.revision;
}

void HollowFleet::publish(std::uint32_t model, WeightVersion version) {
  heads_[ModelName("model-" + std::to_string(model))] = version;
}

std::size_t HollowFleet::daemonsBehind(Revision revision) const {
  std::size_t count = 0;
  for (const auto& daemon : daemons_) {
    count += daemon->up && daemon->core->config().revision() < revision;
  }
  return count;
}

std::size_t HollowFleet::enginesBehind(std::uint32_t model, WeightVersion version) const {
  const ModelName name("model-" + std::to_string(model));
  std::size_t count = 0;
  for (const auto& [id, engine] : engines_) {
    count += engine->seed.model == name && engine->version < version;
  }
  return count;
}

std::size_t HollowFleet::enginesWithoutOwner() const {
  std::size_t count = 0;
  for (const auto& [id, engine] : engines_) {
    count += engine->owner == SIZE_MAX || !daemons_[engine->owner]->up;
  }
  return count;
}

std::size_t HollowFleet::daemonsWithWrongView() const {
  std::size_t live = 0;
  for (const auto& daemon : daemons_) live += daemon->up;
  std::size_t wrong = 0;
  for (const auto& daemon : daemons_) {
    if (!daemon->up) continue;
    std::size_t seen = 0;
    for (const auto& member : daemon->core->status().members) {
      seen += member.status == wire::MemberStatus::kAlive ||
              member.status == wire::MemberStatus::kSuspect;
    }
    wrong += seen != live;
  }
  return wrong;
}

}  // namespace linenpier::sim
