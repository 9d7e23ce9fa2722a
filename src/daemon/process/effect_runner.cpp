#include "daemon/process/effect_runner.h"

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "common/log.h"

namespace linenpier::daemon {

namespace {

constexpr std::size_t kPoolThreads = 8;
constexpr std::size_t kOrderThreads = 6;
constexpr std::size_t kBackgroundThreads = 2;
constexpr int kClaimTries = 3;
constexpr Duration kSampleDeadline = std::chrono::minutes(10);
/// Samples give way to callers' requests.
constexpr int kSamplePriority = -5;
constexpr std::uint32_t kSampleQueue = 4096;
constexpr int kPutTries = 5;
constexpr auto kPutPause = std::chrono::milliseconds(300);

std::string ownershipRowKey(const EngineId& engine) {
  return "owner/" + engine.str();
}

}  // namespace

EffectRunner::EffectRunner(wire::MemberRecord self, Services services,
                           const wire::FrameCodec& codec, UdpTransport& transport,
                           ConfigHolder& config)
    : self_(std::move(self)),
      services_(std::move(services)),
      codec_(codec),
      transport_(transport),
      config_(config),
      config_store_(services_.table),
      step_store_(services_.table, services_.objects),
      pool_(kPoolThreads),
      order_pool_(kOrderThreads),
      background_pool_(kBackgroundThreads),
      random_(Random::seedFromSystem()) {}

EffectRunner::~EffectRunner() {
  stop();
}

void EffectRunner::stop() {
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) return;
    stopped_ = true;
    for (auto& [key, mark] : samples_) *mark = true;
  }
  pool_.shutdown();
  order_pool_.shutdown();
  background_pool_.shutdown();
}

void EffectRunner::waitForSamples() {
  std::unique_lock lock(mutex_);
  samples_changed_.wait(lock, [this] { return samples_.empty(); });
}

void EffectRunner::run(const node::Effect& effect) {
  std::visit([this](const auto& concrete) { on(concrete); }, effect);
}

void EffectRunner::on(const node::SendDatagram& effect) {
  const auto frame = codec_.encode({self_.id, effect.outgoing.message});
  if (!frame) {
    LINENPIER_LOG(warning, "wire") << "Message is too large and was dropped.";
    return;
  }
  transport_.send(effect.outgoing.to, *frame);
}

void EffectRunner::on(const node::ReadMachineList& /*effect*/) {
  pool_.enqueue([this] {
    const auto list = services_.directory->machines(self_.zone);
    if (!list) {
      LINENPIER_LOG(warning, "platform") << "Machine list is unreachable: " << list.error().detail;
      node_->post(node::MachineListRead{});
      return;
    }
    node_->post(node::MachineListRead{list->daemons, list->engines});
  });
}

void EffectRunner::on(const node::ReadLoad& effect) {
  pool_.enqueue([this, effect] {
    const auto report = services_.engines->load(effect.url);
    node::LoadRead event{effect.engine, std::nullopt};
    if (report) event.report = *report;
    node_->post(event);
  });
}

void EffectRunner::on(const node::ReadModelHead& effect) {
  pool_.enqueue([this, effect] {
    const auto version = services_.directory->newestVersion(effect.model);
    if (version) node_->post(node::ModelHeadRead{{effect.model, *version}});
  });
}

void EffectRunner::on(const node::ReadConfig& effect) {
  pool_.enqueue([this, effect] {
    const auto stored = config_store_.read(effect.have);
    if (!stored) {
      LINENPIER_LOG(warning, "config") << "Table is unreachable: " << stored.error().detail;
      node_->post(node::ConfigRead{});
      return;
    }
    node_->post(node::ConfigRead{true, stored->items, stored->revision});
  });
}

void EffectRunner::on(const node::ClaimEngine& effect) {
  pool_.enqueue([this, effect] {
    node_->post(node::ClaimDone{effect.engine, claim(effect.engine)});
  });
}

std::optional<FencingToken> EffectRunner::claim(const EngineId& engine) {
  const std::string key = ownershipRowKey(engine);
  const auto row = services_.table->read(key);
  if (!row) return std::nullopt;
  const AttemptId attempt = newAttempt();
  const nlohmann::json value = {{"owner", self_.id.str()}, {"attempt", attempt.str()}};
  const auto written =
      table::writeSettled(*services_.table, {{{key, row->revision}}, {{key, value.dump()}}},
                          attempt, kClaimTries, [] { std::this_thread::sleep_for(kPutPause); });
  if (written.outcome != table::WriteOutcome::kCommitted) return std::nullopt;
  return written.revision;
}

void EffectRunner::on(const node::SendOrder& effect) {
  order_pool_.enqueue([this, effect] {
    const auto outcome = services_.engines->order(effect.url, effect.order);
    node_->post(node::OrderDone{effect.engine, effect.order,
                                outcome.value_or(engine::OrderOutcome::kFailed)});
  });
}

void EffectRunner::on(const node::StartSample& effect) {
  auto stop = std::make_shared<std::atomic<bool>>(false);
  {
    const std::lock_guard lock(mutex_);
    samples_[effect.order.sample] = stop;
  }
  node_->system().spawn<caf::detached>([this, order = effect.order, stop](caf::event_based_actor*) {
    makeSample(order, stop);
    const std::lock_guard lock(mutex_);
    samples_.erase(order.sample);
    samples_changed_.notify_all();
  });
}

void EffectRunner::makeSample(const wire::SampleOrder& order,
                              const std::shared_ptr<std::atomic<bool>>& stop) {
  RequestWork work;
  const AttemptId attempt = newAttempt();
  work.id = RequestId("sample-" + attempt.str());
  work.tenant = order.sample.step.tenant;
  work.model = order.model;
  work.prompt = order.prompt;
  work.max_tokens = order.max_tokens;
  work.priority = kSamplePriority;
  work.hand_over = true;
  work.max_in_flight = UINT32_MAX;
  work.max_queued = kSampleQueue;
  work.minimum_version = order.minimum_version;
  work.deadline = steadyNow() + kSampleDeadline;
  std::uint32_t tokens = 0;
  WeightVersion oldest = 0;
  const RequestRunner runner(*node_, services_.engines);
  const RequestReport report =
      runner.run(work, runner.admit(work), [&](const engine::Piece& piece) {
        tokens += piece.tokens;
        oldest = oldest == 0 ? piece.version : std::min(oldest, piece.version);
        node_->post(node::SampleAdvanced{order.sample, tokens, oldest});
        return !stop->load();
      });
  wire::SampleResult result{order.sample, report.complete, report.text, report.pieces};
  if (report.complete) {
    // Stored before it is reported, so that a new coordinator finds it.
    const rollout::Sample sample{order.sample, report.text, report.pieces};
    for (int tries = 0; tries < kPutTries; ++tries) {
      if (step_store_.putSample(sample, attempt)) break;
      std::this_thread::sleep_for(kPutPause);
    }
  }
  node_->post(node::SampleFinished{result});
}

void EffectRunner::on(const node::StopSample& effect) {
  const std::lock_guard lock(mutex_);
  const auto found = samples_.find(effect.sample);
  if (found != samples_.end()) *found->second = true;
}

void EffectRunner::on(const node::ReadStep& effect) {
  pool_.enqueue([this, effect] {
    const auto stored = step_store_.read(effect.step);
    node::StepRead event{effect.step, std::nullopt, std::nullopt, {}};
    if (stored && *stored) {
      event.row = (*stored)->row;
      event.spec = (*stored)->spec;
      event.samples = (*stored)->samples;
    }
    node_->post(event);
  });
}

void EffectRunner::on(const node::CommitStep& effect) {
  pool_.enqueue([this, effect] {
    const CommitOutcome outcome = step_store_.commit(effect.order, newAttempt());
    node_->post(node::CommitDone{effect.order.step, outcome == CommitOutcome::kCommitted,
                                 outcome == CommitOutcome::kTooLate});
  });
}

void EffectRunner::on(const node::ConfigInForce& effect) {
  config_.set(effect.snapshot);
  LINENPIER_LOG(info, "config") << "Revision " << effect.snapshot->revision << " is in force.";
}

AttemptId EffectRunner::newAttempt() {
  const std::lock_guard lock(mutex_);
  return AttemptId(self_.id.str() + "-" + random_.hex16());
}

}  // namespace linenpier::daemon
